package itemrun

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/batch"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/protocol/sse"
)

// Options set up a Runner. Zero fields take their defaults.
type Options struct {
	// Target sends calls over connections that online calls don't use.
	Target external.Target
	// MaxAnswer bounds a whole answer in bytes. Default 512 KiB, the largest
	// result that the ledger keeps.
	MaxAnswer int64
	// Timeout bounds one run. Default 10 min: longer than the longest answer
	// at the slowest pace, so that only a frozen target meets it.
	Timeout time.Duration
	// CancelTimeout bounds the cancel of a run that was interrupted. Default
	// 500 ms; a target that was not told finds its connection closed.
	CancelTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = 512 << 10
	}
	if o.Timeout <= 0 {
		o.Timeout = 10 * time.Minute
	}
	if o.CancelTimeout <= 0 {
		o.CancelTimeout = 500 * time.Millisecond
	}
	return o
}

// Runner runs items. It is a batch.Runner.
type Runner struct{ opts Options }

var _ batch.Runner = (*Runner)(nil)

// New returns a Runner.
func New(opts Options) *Runner { return &Runner{opts: opts.withDefaults()} }

// run is one item at one target.
type run struct {
	opts    Options
	item    batch.Item
	pick    coordination.Pick
	id      protocol.CallID
	stream  bool
	started time.Time
	answer  partial
	first   time.Duration
}

// Run implements batch.Runner.
func (r *Runner) Run(ctx context.Context, slot coordination.BatchSlot, item batch.Item) batch.ItemOutcome {
	one := &run{
		opts: r.opts, item: item, pick: slot.Pick(),
		id: newID(), started: time.Now(),
	}
	return one.do(ctx)
}

func newID() protocol.CallID { return protocol.CallID("item_" + rand.Text()) }

func (r *run) do(ctx context.Context) batch.ItemOutcome {
	limited, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	r.resume()
	outcome, anew := r.attempt(limited, ctx)
	if anew {
		outcome, _ = r.attempt(limited, ctx)
	}
	return outcome
}

// attempt sends one call. anew asks for another from the beginning: the target
// can't resume, and the next one that the item meets may not either.
func (r *run) attempt(limited, ctx context.Context) (outcome batch.ItemOutcome, anew bool) {
	answer, err := r.opts.Target.Do(limited, r.pick.Address, r.call())
	if err != nil {
		return r.broken(ctx, err), false
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return r.refused(ctx, answer), false
	}
	if !r.stream {
		return r.readWhole(ctx, answer), false
	}
	outcome, err = r.readStream(ctx, answer)
	if errors.Is(err, errNotResumed) {
		r.answer = partial{}
		r.id = newID()
		return outcome, true
	}
	return outcome, false
}

// resume takes up what an interrupted run kept. What can't be decoded is
// dropped: the item starts anew, which costs work and not correctness.
func (r *run) resume() {
	if r.item.Resume == nil {
		return
	}
	if kept, err := decodePartial(r.item.Resume.Output); err == nil {
		r.answer = *kept
	}
}

func (r *run) call() external.Call {
	body, ok := streamable(r.item.Endpoint, r.item.Body)
	r.stream = ok
	return external.Call{
		ID:       r.id,
		Method:   http.MethodPost,
		Path:     r.item.Endpoint,
		Header:   http.Header{"Content-Type": {"application/json"}},
		Body:     body,
		ResumeAt: r.answer.Position,
	}
}

// readStream reads until the end mark. Its error is errNotResumed or nil.
func (r *run) readStream(ctx context.Context, answer *external.Answer) (batch.ItemOutcome, error) {
	events := sse.NewReader(answer.Body)
	resumed := r.answer.Position > 0
	for {
		event, err := events.Next()
		if err != nil {
			return r.broken(ctx, err), nil
		}
		if r.first == 0 {
			r.first = time.Since(r.started)
		}
		if event.Done {
			return r.whole(answer.Status), nil
		}
		if err := r.answer.add(event, resumed); err != nil {
			return r.broken(ctx, err), err
		}
		if int64(len(r.answer.Text)) > r.opts.MaxAnswer {
			return r.tooLong(), nil
		}
		resumed = false
	}
}

func (r *run) whole(status int) batch.ItemOutcome {
	body, err := r.answer.body(isChat(r.item.Endpoint))
	if err != nil {
		return r.failed(protocol.CodeTargetFailed, err.Error())
	}
	return r.done(bulk.Result{Status: status, RequestID: string(r.id), Body: body})
}

func (r *run) readWhole(ctx context.Context, answer *external.Answer) batch.ItemOutcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.opts.MaxAnswer+1))
	if err != nil {
		return r.broken(ctx, err)
	}
	if int64(len(body)) > r.opts.MaxAnswer {
		return r.tooLong()
	}
	return r.done(bulk.Result{Status: answer.Status, RequestID: string(r.id), Body: body})
}

func (r *run) tooLong() batch.ItemOutcome {
	return r.failed(protocol.CodeTooLarge, fmt.Sprintf("the answer exceeds %d bytes", r.opts.MaxAnswer))
}

func (r *run) result() coordination.CallResult {
	return coordination.CallResult{FirstByte: r.first}
}

func (r *run) done(result bulk.Result) batch.ItemOutcome {
	return batch.ItemOutcome{Kind: batch.Done, Result: result, Call: r.result()}
}

func (r *run) failed(code protocol.Code, message string) batch.ItemOutcome {
	return r.done(bulk.Result{RequestID: string(r.id), Code: code, Message: message})
}

// refused settles an answer that is not a success. The target's own no to the
// request is final; trouble of its own is worth another attempt.
func (r *run) refused(ctx context.Context, answer *external.Answer) batch.ItemOutcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.opts.MaxAnswer))
	if err != nil {
		return r.broken(ctx, err)
	}
	outcome := r.done(bulk.Result{
		Status: answer.Status, RequestID: string(r.id), Body: body,
		Code: protocol.CodeTargetFailed, Message: fmt.Sprintf("the target answered %d", answer.Status),
	})
	if answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests {
		outcome.Kind = batch.Retry
		outcome.Call.Failed = true
	}
	return outcome
}

// broken settles a run without a whole answer. If the run was interrupted from
// here, the target is told to stop and what came is kept.
func (r *run) broken(ctx context.Context, err error) batch.ItemOutcome {
	if ctx.Err() != nil {
		return r.interrupted()
	}
	outcome := r.failed(protocol.CodeTargetFailed, err.Error())
	outcome.Kind = batch.Retry
	var failed *external.CallError
	if errors.As(err, &failed) && failed.Run == protocol.NotRun {
		// A dead target fails at once and so draws item after item. None of
		// them was tried, so none may lose an attempt.
		outcome.Kind = batch.NotStarted
	}
	outcome.Call.Failed = true
	return outcome
}

func (r *run) interrupted() batch.ItemOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.CancelTimeout)
	defer cancel()
	// A failed cancel does no harm: the closed connection ends the call too.
	_ = r.opts.Target.Cancel(ctx, r.pick.Address, r.id)
	outcome := batch.ItemOutcome{Kind: batch.Interrupted, Call: r.result()}
	if r.answer.Position == 0 {
		return outcome
	}
	if kept, err := r.answer.encode(); err == nil {
		outcome.Resume = &batch.Resume{Tokens: r.answer.Position, Output: kept, Target: r.pick.Target}
	}
	return outcome
}
