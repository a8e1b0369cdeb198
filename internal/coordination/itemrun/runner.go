package itemrun

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

// Options configure a Runner. A field with its zero value takes its default.
type Options struct {
	// Target sends calls over connections that are not shared with online calls.
	Target external.Target
	// MaxAnswerBytes limits the size of an answer. Default 512 KiB, the maximum
	// size of a batch result.
	MaxAnswerBytes int64
	// Timeout limits the duration of one run. Default 10 min: longer than the
	// longest answer at the lowest token rate, so that only a hung target
	// reaches it.
	Timeout time.Duration
	// CancelTimeout limits the cancel call for an interrupted run. Default 500 ms.
	// A target that does not receive the cancel sees the closed connection.
	CancelTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = 512 << 10
	}
	if o.Timeout <= 0 {
		o.Timeout = 10 * time.Minute
	}
	if o.CancelTimeout <= 0 {
		o.CancelTimeout = 500 * time.Millisecond
	}
	return o
}

// Runner runs batch items at targets. It implements batch.Runner.
type Runner struct{ opts Options }

var _ batch.Runner = (*Runner)(nil)

// New returns a Runner.
func New(opts Options) *Runner { return &Runner{opts: opts.withDefaults()} }

// run is one run of one item at one target.
type run struct {
	opts Options
	item batch.Item
	pick coordination.Pick
	id   protocol.CallID
	// stream reports whether the call requests a stream.
	stream  bool
	started time.Time
	partial partialAnswer
	// firstByte is the time from the start to the first event, 0 if none came.
	firstByte time.Duration
}

// Run implements batch.Runner.
func (r *Runner) Run(ctx context.Context, slot coordination.BatchSlot, item batch.Item) batch.ItemOutcome {
	itemRun := &run{
		opts: r.opts, item: item, pick: slot.Pick(),
		id: newID(), started: time.Now(),
	}
	return itemRun.execute(ctx)
}

func newID() protocol.CallID { return protocol.CallID("item_" + rand.Text()) }

// execute runs the item, and runs it once more from the beginning if the target
// does not resume.
func (r *run) execute(ctx context.Context) batch.ItemOutcome {
	limited, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	r.restorePartial()
	outcome, restart := r.attempt(limited, ctx)
	if restart {
		outcome, _ = r.attempt(limited, ctx)
	}
	return outcome
}

// attempt sends one call. restart reports that the target did not resume and that
// the item must run from the beginning. This happens at the same target, because
// the next one may not be able to resume either. limited is ctx with the timeout
// of the run.
func (r *run) attempt(limited, ctx context.Context) (outcome batch.ItemOutcome, restart bool) {
	answer, err := r.opts.Target.Do(limited, r.pick.Address, r.newCall())
	if err != nil {
		return r.failedOrInterrupted(ctx, err), false
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return r.errorStatus(ctx, answer), false
	}
	if !r.stream {
		return r.readBody(ctx, answer), false
	}
	outcome, err = r.readStream(ctx, answer)
	if errors.Is(err, errNotResumed) {
		r.partial = partialAnswer{}
		r.id = newID()
		return outcome, true
	}
	return outcome, false
}

// restorePartial restores the partial answer of an interrupted run. If the partial
// answer can't be decoded, or comes from a target of another software version, the item
// starts from the beginning, which repeats work but is correct.
func (r *run) restorePartial() {
	if r.item.Resume == nil || r.item.Resume.Version != r.pick.Version {
		return
	}
	if kept, err := decodePartial(r.item.Resume.Output); err == nil {
		r.partial = *kept
	}
}

// newCall builds the call and sets r.stream.
func (r *run) newCall() external.Call {
	body, ok := streamable(r.item.Endpoint, r.item.Body)
	r.stream = ok
	return external.Call{
		ID:       r.id,
		Method:   http.MethodPost,
		Path:     r.item.Endpoint,
		Header:   http.Header{"Content-Type": {"application/json"}},
		Body:     body,
		ResumeAt: r.partial.Position,
	}
}

// readStream reads events up to the end marker of the stream. The returned error is
// only used to detect errNotResumed.
func (r *run) readStream(ctx context.Context, answer *external.Answer) (batch.ItemOutcome, error) {
	events := sse.NewReader(answer.Body)
	resumed := r.partial.Position > 0
	for {
		event, err := events.Next()
		if err != nil {
			return r.failedOrInterrupted(ctx, err), nil
		}
		if r.firstByte == 0 {
			r.firstByte = time.Since(r.started)
		}
		if event.Done {
			return r.streamCompleted(answer.Status), nil
		}
		if err := r.partial.addEvent(event, resumed); err != nil {
			return r.failedOrInterrupted(ctx, err), err
		}
		if int64(len(r.partial.Text)) > r.opts.MaxAnswerBytes {
			return r.answerTooLarge(), nil
		}
		resumed = false
	}
}

// streamCompleted returns the outcome of a stream that has reached its end marker.
func (r *run) streamCompleted(status int) batch.ItemOutcome {
	body, err := r.partial.body(isChat(r.item.Endpoint))
	if err != nil {
		return r.failed(protocol.CodeTargetFailed, err.Error())
	}
	return r.done(bulk.Result{Status: status, RequestID: string(r.id), Body: body})
}

// readBody reads an answer that is not a stream.
func (r *run) readBody(ctx context.Context, answer *external.Answer) batch.ItemOutcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.opts.MaxAnswerBytes+1))
	if err != nil {
		return r.failedOrInterrupted(ctx, err)
	}
	if int64(len(body)) > r.opts.MaxAnswerBytes {
		return r.answerTooLarge()
	}
	if !utf8.Valid(body) {
		return r.failedOrInterrupted(ctx, errInvalidUTF8)
	}
	return r.done(bulk.Result{Status: answer.Status, RequestID: string(r.id), Body: body})
}

func (r *run) answerTooLarge() batch.ItemOutcome {
	return r.failed(protocol.CodeTooLarge, fmt.Sprintf("the response exceeds %d bytes", r.opts.MaxAnswerBytes))
}

// result returns the outcome of the call for the router.
func (r *run) result() coordination.CallResult {
	return coordination.CallResult{FirstByte: r.firstByte}
}

func (r *run) done(result bulk.Result) batch.ItemOutcome {
	return batch.ItemOutcome{Kind: batch.Done, Result: result, Call: r.result()}
}

// failed returns the outcome of an item with a final failed result.
func (r *run) failed(code protocol.Code, message string) batch.ItemOutcome {
	return r.done(bulk.Result{RequestID: string(r.id), Code: code, Message: message})
}

// errorStatus returns the outcome of an answer with an error status. Statuses 5xx
// and 429 lead to another attempt. All others are final, because the target
// rejects the request itself.
func (r *run) errorStatus(ctx context.Context, answer *external.Answer) batch.ItemOutcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.opts.MaxAnswerBytes))
	if err != nil {
		return r.failedOrInterrupted(ctx, err)
	}
	outcome := r.done(bulk.Result{
		Status: answer.Status, RequestID: string(r.id), Body: body,
		Code: protocol.CodeTargetFailed, Message: fmt.Sprintf("the target responded with status %d", answer.Status),
	})
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		outcome.Kind = batch.Retry
		outcome.Call.Failed = true
	}
	return outcome
}

// failedOrInterrupted returns the outcome of a run without a complete answer. If
// this instance interrupted the run, the call is cancelled at the target and the
// partial answer is kept.
func (r *run) failedOrInterrupted(ctx context.Context, err error) batch.ItemOutcome {
	if ctx.Err() != nil {
		return r.interrupted()
	}
	outcome := r.failed(protocol.CodeTargetFailed, err.Error())
	outcome.Kind = batch.Retry
	var callErr *external.CallError
	if errors.As(err, &callErr) && callErr.Run == protocol.NotRun {
		// Calls to a target that is down fail immediately, so many items may be
		// sent to it in a row. None of them ran, so none may lose an attempt.
		outcome.Kind = batch.NotStarted
	}
	outcome.Call.Failed = true
	return outcome
}

// interrupted cancels the call at the target and returns the partial answer.
func (r *run) interrupted() batch.ItemOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.CancelTimeout)
	defer cancel()
	// A failed cancel is harmless, because the closed connection ends the call too.
	_ = r.opts.Target.Cancel(ctx, r.pick.Address, r.id)
	outcome := batch.ItemOutcome{Kind: batch.Interrupted, Call: r.result()}
	if r.partial.Position == 0 {
		return outcome
	}
	if kept, err := r.partial.encode(); err == nil {
		outcome.Resume = &batch.Resume{Tokens: r.partial.Position, Output: kept, Target: r.pick.Target, Version: r.pick.Version}
	}
	return outcome
}
