package journal

import "errors"

// Causes of an outcome that is not Completed. All except ErrGap, ErrStopped and
// a context's error occur only with NotRun.
var (
	// ErrStarting reports that the replayed state is not loaded yet.
	ErrStarting = errors.New("journal is starting")
	// ErrNoSession reports that the instance has no open session.
	ErrNoSession = errors.New("instance has no session")
	// ErrLogDown reports that the end of the control stream was not read within
	// DownAfter.
	ErrLogDown = errors.New("platform log is down")
	// ErrQueueFull reports that the queue of submissions is full.
	ErrQueueFull = errors.New("submission queue is full")
	// ErrSessionEnded reports that the session ended before the record was in
	// the stream. Replay rejects the record if it appears later.
	ErrSessionEnded = errors.New("session ended before the record was in the stream")
	// ErrGap reports that the record may be among entries that left retention
	// before this instance read them.
	ErrGap = errors.New("record may be in a gap of the control stream")
	// ErrStopped reports that the writer has stopped.
	ErrStopped = errors.New("journal stopped")
)

// Errors that the reader finds in the streams.
var (
	errMissingEntries = errors.New("entries are missing in the control stream")
	errNoSnapshot     = errors.New("no snapshot found")
	errStaleSnapshot  = errors.New("snapshot is not ahead of the replayed state")
)
