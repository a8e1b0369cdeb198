package journal

import "errors"

// Causes of an outcome that is not Completed. All but ErrGap, ErrStopped and a
// context's error come only with NotRun.
var (
	// ErrStarting: the replayed state is not loaded yet.
	ErrStarting = errors.New("journal is starting")
	// ErrNoSession: the instance has no session to write under.
	ErrNoSession = errors.New("instance has no session")
	// ErrLogDown: the end of the control stream was not read lately.
	ErrLogDown = errors.New("platform log is down")
	// ErrBusy: too many submissions wait already.
	ErrBusy = errors.New("submission queue is full")
	// ErrSessionEnded: the session ended before the record stood in the
	// stream, so replay refuses it wherever it may still turn up.
	ErrSessionEnded = errors.New("session ended before the record")
	// ErrGap: the record may stand among entries that left retention unread.
	ErrGap = errors.New("record's fate lies in a gap of the stream")
	// ErrStopped: the writer has stopped.
	ErrStopped = errors.New("journal stopped")
)

// Faults of the stream that the reader finds.
var (
	errMissing    = errors.New("entries are missing in the control stream")
	errNoSnapshot = errors.New("no snapshot found")
	errStale      = errors.New("snapshot is not ahead of the replayed state")
)
