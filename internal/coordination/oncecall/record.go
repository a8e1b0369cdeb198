package oncecall

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
)

// note is what must be recorded of a reserved call: its release, its answer,
// or, with neither, that its outcome is unknown.
type note struct {
	release bool
	key     protocol.CallKey
	id      protocol.CallID
	answer  *online.Response
}

// record writes a note within RecordTimeout, or leaves it to the Recorder. The
// outcome is written before the caller gets the answer, so that an answer lost
// on its way can be had again.
func (c *Caller) record(ctx context.Context, n note) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.RecordTimeout)
	defer cancel()
	if err := c.write(bounded, n); err != nil {
		c.later(n)
	}
}

// later leaves a note to the Recorder. If too many wait, the note is lost and
// a resend is told that the outcome is unknown, which is true.
func (c *Caller) later(n note) {
	if !c.unrecorded.Offer(n) {
		counters.Add("outcomes_lost", 1)
		_ = c.logger.Log("event", "outcome_not_recorded", "call", n.id)
	}
}

func (c *Caller) write(ctx context.Context, n note) error {
	if n.release {
		body := &protocol.CallRelease{Call: n.key, ID: n.id}
		return c.submit(ctx, protocol.Record{CallRelease: body})
	}
	body := &protocol.CallOutcome{Call: n.key, ID: n.id, Data: protocol.NoOffset}
	if n.answer != nil {
		at, err := c.store(ctx, n.answer)
		if err != nil {
			return trace.Wrap(err)
		}
		body.Status = n.answer.Status
		body.Data = at
	}
	return c.submit(ctx, protocol.Record{CallOutcome: body})
}

// store keeps an answer for resends. One that does not fit in a log entry is
// not kept; a resend learns that the call ran.
func (c *Caller) store(ctx context.Context, answer *online.Response) (protocol.Offset, error) {
	payload, err := bulk.Encode(bulk.Entry{
		At:     time.Now().Unix(),
		Answer: &bulk.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body},
	})
	if errors.Is(err, protocol.ErrFrameTooLarge) {
		return protocol.NoOffset, nil
	}
	if err != nil {
		return protocol.NoOffset, trace.Wrap(err)
	}
	at, err := c.journal.AppendData(ctx, payload)
	return at, trace.Wrap(err)
}

var errUndecided = errors.New("the fate of the record is not known")

// submit writes a record and is content with any verdict of replay but the one
// that a session was missing.
func (c *Caller) submit(ctx context.Context, record protocol.Record) error {
	outcome := c.journal.Submit(ctx, record)
	if outcome.Run != protocol.Completed || outcome.Verdict == protocol.NoSession {
		return trace.Wrap(errUndecided)
	}
	return nil
}

// Recorder is the duty that writes notes which could not be written at once.
type Recorder struct{ caller *Caller }

// Recorder returns the duty of a Caller, for the supervisor.
func (c *Caller) Recorder() *Recorder { return &Recorder{c} }

// String names the duty.
func (r *Recorder) String() string { return "once-call recorder" }

// recordRetry is the wait between two attempts at a note.
const recordRetry = time.Second

// Serve writes notes in order until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	for {
		n, err := r.caller.unrecorded.Take(ctx)
		if err != nil {
			return err
		}
		for r.attempt(ctx, n) != nil {
			select {
			case <-time.After(recordRetry):
			case <-ctx.Done():
				r.caller.later(n)
				return ctx.Err()
			}
		}
	}
}

func (r *Recorder) attempt(ctx context.Context, n note) error {
	bounded, cancel := context.WithTimeout(ctx, r.caller.opts.ReserveTimeout)
	defer cancel()
	return r.caller.write(bounded, n)
}
