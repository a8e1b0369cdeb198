package journal

import (
	"context"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// phase is the state of a submission.
type phase int

const (
	// queued: no append has carried the record yet.
	queued phase = iota
	// sent: an append that carried the record may have taken effect.
	sent
	// done: the outcome was delivered, or the submitter stopped waiting.
	done
)

// submission is a record that is being written to the stream. Its fields after
// rec are guarded by Journal.pendingMu.
type submission struct {
	rec     protocol.Record
	session protocol.SessionID
	size    int
	phase   phase
	frame   *pendingFrame
	outcome chan coordination.Outcome
}

func newSubmission(rec protocol.Record, session protocol.SessionID) *submission {
	return &submission{rec: rec, session: session, outcome: make(chan coordination.Outcome, 1)}
}

func notRun(err error) coordination.Outcome {
	return coordination.Outcome{Offset: protocol.NoOffset, Run: protocol.NotRun, Err: err}
}

func mayHaveRun(err error) coordination.Outcome {
	return coordination.Outcome{Offset: protocol.NoOffset, Run: protocol.MayHaveRun, Err: err}
}

// Submit implements coordination.Journal. If the log is known to be down, it
// returns at once, so that the caller does not wait for a rejection.
func (j *Journal) Submit(ctx context.Context, rec protocol.Record) coordination.Outcome {
	if !j.isLoaded() {
		return notRun(ErrStarting)
	}
	if !j.LogUp() {
		return notRun(ErrLogDown)
	}
	session := j.Session()
	if session == 0 {
		return notRun(ErrNoSession)
	}
	return j.submit(ctx, rec, session)
}

// submit passes a record to the writer and waits for its outcome.
func (j *Journal) submit(ctx context.Context, rec protocol.Record, session protocol.SessionID) coordination.Outcome {
	sub := newSubmission(rec, session)
	if !j.submissions.Offer(sub) {
		return notRun(ErrQueueFull)
	}
	select {
	case outcome := <-sub.outcome:
		return outcome
	case <-ctx.Done():
		return j.cancelSubmission(sub, context.Cause(ctx))
	case <-j.stopped:
		return j.cancelSubmission(sub, ErrStopped)
	}
}

// cancelSubmission ends a submission whose submitter stopped waiting.
func (j *Journal) cancelSubmission(sub *submission, cause error) coordination.Outcome {
	j.pendingMu.Lock()
	defer j.pendingMu.Unlock()
	previous := sub.phase
	j.markDone(sub)
	switch previous {
	case queued:
		return notRun(cause)
	case sent:
		return mayHaveRun(cause)
	default:
		return <-sub.outcome
	}
}

// resolve delivers the outcome of a submission, unless it is done already. The
// caller holds j.pendingMu.
func (j *Journal) resolve(sub *submission, outcome coordination.Outcome) {
	if sub.phase == done {
		return
	}
	j.markDone(sub)
	sub.outcome <- outcome
}

// markDone marks a submission as done and decrements the unfinished count of
// its frame. The caller holds j.pendingMu.
func (j *Journal) markDone(sub *submission) {
	if sub.phase == done {
		return
	}
	sub.phase = done
	delete(j.unresolved, sub.rec.ID)
	if sub.frame != nil {
		sub.frame.unfinished--
		if sub.frame.unfinished == 0 {
			close(sub.frame.finished)
		}
	}
}
