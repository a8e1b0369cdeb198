package journal

import (
	"context"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// phase is how far a submission has come.
type phase int

const (
	// queued: no append carried the record yet.
	queued phase = iota
	// sent: an append that carried the record may have taken effect.
	sent
	// done: the outcome was given, or the submitter gave up.
	done
)

// submission is a record on its way into the stream. Its fields after rec are
// guarded by Journal.pending.
type submission struct {
	rec     protocol.Record
	session protocol.SessionID
	size    int
	phase   phase
	frame   *flight
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

// Submit implements coordination.Journal. When the log is known to be down it
// answers at once, so that a caller isn't kept waiting for a refusal.
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

// submit hands a record to the writer and waits for its fate.
func (j *Journal) submit(ctx context.Context, rec protocol.Record, session protocol.SessionID) coordination.Outcome {
	sub := newSubmission(rec, session)
	if !j.submissions.Offer(sub) {
		return notRun(ErrBusy)
	}
	select {
	case outcome := <-sub.outcome:
		return outcome
	case <-ctx.Done():
		return j.giveUp(sub, context.Cause(ctx))
	case <-j.stopped:
		return j.giveUp(sub, ErrStopped)
	}
}

// giveUp ends a submission whose submitter waits no longer.
func (j *Journal) giveUp(sub *submission, cause error) coordination.Outcome {
	j.pending.Lock()
	defer j.pending.Unlock()
	was := sub.phase
	j.finish(sub)
	switch was {
	case queued:
		return notRun(cause)
	case sent:
		return mayHaveRun(cause)
	default:
		return <-sub.outcome
	}
}

// settle gives a submission its outcome, unless it has ended already. The
// caller holds j.pending.
func (j *Journal) settle(sub *submission, outcome coordination.Outcome) {
	if sub.phase == done {
		return
	}
	j.finish(sub)
	sub.outcome <- outcome
}

// finish marks a submission as ended and tells its frame. The caller holds
// j.pending.
func (j *Journal) finish(sub *submission) {
	if sub.phase == done {
		return
	}
	sub.phase = done
	delete(j.waiting, sub.rec.ID)
	if sub.frame != nil {
		sub.frame.left--
		if sub.frame.left == 0 {
			close(sub.frame.finished)
		}
	}
}
