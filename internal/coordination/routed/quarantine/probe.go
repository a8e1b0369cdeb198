package quarantine

import "github.com/VictoriaMetrics/metrics"

// probeResult is what a check found at the address of a target.
type probeResult int

const (
	// probeRefused: no process listens. The zero value stands for no check.
	probeRefused probeResult = iota + 1
	// probeSilent: a connection was accepted, perhaps by a supervisor that holds the port, and no process answered.
	probeSilent
	// probeAccepted: a process accepts connections and does not tell when it started.
	probeAccepted
	// probeTold: a process has told when it started.
	probeTold
)

// String returns the name of the result in logs.
func (r probeResult) String() string {
	return [...]string{"none", "refused", "silent", "accepted", "told"}[r]
}

// probe is the result of one check.
type probe struct {
	result probeResult
	// started is when the process there started, in Unix milliseconds, if it told.
	started int64
}

// endReason says why a lost request counts as met by the end of its target, or does not. Its values appear in logs
// and metrics.
type endReason string

const (
	// endPlanned: the target was leaving.
	endPlanned endReason = "planned"
	// endRuns: the process that the request was sent to runs, as it has told itself.
	endRuns endReason = "runs"
	// endReplaced: another process runs at its address, as that has told.
	endReplaced endReason = "replaced"
	// endListedAnew: another incarnation is listed at its address.
	endListedAnew endReason = "listed_anew"
	// endGone: no process answered at its address at two checks.
	endGone endReason = "gone"
	// endUnreachable: the same, but no instance of its failure domain is reached either.
	endUnreachable endReason = "unreachable"
	// endAccepts: a process accepts connections at its address, and does not tell which it is.
	endAccepts endReason = "accepts"
	// endStuck: the process that the request was sent to tells its start, but works on nothing.
	endStuck endReason = "stuck"
	// endSenderLost: the instance that sent the request is down or silent, and the check is not complete.
	endSenderLost endReason = "sender_lost"
	// endUnknown: the check is not complete.
	endUnknown endReason = "unknown"
)

// endChecks counts the targets that were checked by the result.
var endChecks = newEndChecks()

func newEndChecks() map[endReason]*metrics.Counter {
	out := map[endReason]*metrics.Counter{}
	for _, reason := range []endReason{endPlanned, endRuns, endReplaced, endListedAnew, endGone, endUnreachable, endAccepts, endStuck, endSenderLost, endUnknown} {
		out[reason] = metrics.NewCounter(`target_end_checks_total{result="` + string(reason) + `"}`)
	}
	return out
}
