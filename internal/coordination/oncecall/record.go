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

// outcomeNote is what must be recorded of a reserved call: its release, its
// response, or, if neither is set, that its outcome is unknown.
type outcomeNote struct {
	release  bool
	key      protocol.CallKey
	id       protocol.CallID
	response *online.Response
}

// record writes a note within RecordTimeout or else queues it for the Recorder.
// The outcome is written before the caller gets the response, so that a resend
// can fetch a response that was lost in transit.
func (c *Caller) record(ctx context.Context, n outcomeNote) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.RecordTimeout)
	defer cancel()
	if err := c.write(recordCtx, n); err != nil {
		c.enqueue(n)
	}
}

// enqueue queues a note for the Recorder. If the queue is full, the note is lost
// and a resend is told that the outcome is unknown, which is true.
func (c *Caller) enqueue(n outcomeNote) {
	if !c.unrecorded.Offer(n) {
		counters.Add("outcomes_lost", 1)
		_ = c.logger.Log("event", "outcome_not_recorded", "call", n.id)
	}
}

// write submits the record for a note. It stores the response first.
func (c *Caller) write(ctx context.Context, n outcomeNote) error {
	if n.release {
		body := &protocol.CallRelease{Call: n.key, ID: n.id}
		return c.submit(ctx, protocol.Record{CallRelease: body})
	}
	body := &protocol.CallOutcome{Call: n.key, ID: n.id, Data: protocol.NoOffset}
	if n.response != nil {
		offset, err := c.storeResponse(ctx, n.response)
		if err != nil {
			return trace.Wrap(err)
		}
		body.Status = n.response.Status
		body.Data = offset
	}
	return c.submit(ctx, protocol.Record{CallOutcome: body})
}

// storeResponse stores a response for resends. A response that does not fit in a
// log entry is not stored; a resend is then told only that the call ran.
func (c *Caller) storeResponse(ctx context.Context, response *online.Response) (protocol.Offset, error) {
	payload, err := bulk.Encode(bulk.Entry{
		At:     time.Now().Unix(),
		Answer: &bulk.Answer{Status: response.Status, Header: response.Header, Body: response.Body},
	})
	if errors.Is(err, protocol.ErrFrameTooLarge) {
		return protocol.NoOffset, nil
	}
	if err != nil {
		return protocol.NoOffset, trace.Wrap(err)
	}
	offset, err := c.journal.AppendData(ctx, payload)
	return offset, trace.Wrap(err)
}

var errNotRecorded = errors.New("the log did not confirm the record")

// submit writes a record. Any verdict of the replay except NoSession counts as
// success.
func (c *Caller) submit(ctx context.Context, record protocol.Record) error {
	outcome := c.journal.Submit(ctx, record)
	if outcome.Run != protocol.Completed || outcome.Verdict == protocol.NoSession {
		return trace.Wrap(errNotRecorded)
	}
	return nil
}

// Recorder is the background service that writes notes which could not be
// written at once.
type Recorder struct{ caller *Caller }

// Recorder returns the Recorder of a Caller, to be run by a supervisor.
func (c *Caller) Recorder() *Recorder { return &Recorder{c} }

// String returns the name of the background service.
func (r *Recorder) String() string { return "once-call recorder" }

// recordRetryInterval is the delay between two attempts to write a note.
const recordRetryInterval = time.Second

// Serve writes notes in order until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	for {
		n, err := r.caller.unrecorded.Take(ctx)
		if err != nil {
			return err
		}
		for r.tryWrite(ctx, n) != nil {
			select {
			case <-time.After(recordRetryInterval):
			case <-ctx.Done():
				r.caller.enqueue(n)
				return ctx.Err()
			}
		}
	}
}

func (r *Recorder) tryWrite(ctx context.Context, n outcomeNote) error {
	writeCtx, cancel := context.WithTimeout(ctx, r.caller.opts.ReserveTimeout)
	defer cancel()
	return r.caller.write(writeCtx, n)
}
