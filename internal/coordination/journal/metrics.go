package journal

import "expvar"

// counters are published under "journal" in expvar.
var counters = expvar.NewMap("journal")

// Names of the counters.
const (
	countAppends       = "appends"
	countAppendErrors  = "append_errors"
	countThrottled     = "append_throttled"
	countReadErrors    = "read_errors"
	countEntries       = "entries_applied"
	countMalformed     = "entries_malformed"
	countRejected      = "records_rejected"
	countGaps          = "gaps"
	countInstalls      = "snapshots_installed"
	countSnapshots     = "snapshots_written"
	countExpired       = "sessions_expired_seen"
	countSessionOpened = "own_sessions_opened"
)
