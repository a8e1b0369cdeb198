package batch

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// run runs one item on a place and takes care of its outcome. ctx is the
// duty's, runCtx that of the run alone.
func (e *Executor) run(ctx, runCtx context.Context, stop context.CancelCauseFunc, slot coordination.BatchSlot, item Item) {
	defer stop(nil)
	returned := make(chan struct{})
	go func() {
		select {
		case <-slot.Revoked():
			stop(errRevoked)
		case <-returned:
		}
	}()
	outcome := e.runner.Run(runCtx, slot, item)
	close(returned)
	slot.Release(outcome.Call)
	if errors.Is(context.Cause(runCtx), errJobEnded) {
		outcome = ItemOutcome{Kind: Interrupted}
	}
	e.finish(ctx, item, outcome)
}

// finish decides what becomes of an item after a run.
func (e *Executor) finish(ctx context.Context, item Item, outcome ItemOutcome) {
	switch outcome.Kind {
	case Done:
		_ = e.report(ctx, item, outcome.Result)
	case Interrupted:
		counters.Add("interrupted", 1)
		e.update(func(w *workset) { w.requeue(item, item.Attempt-1, time.Time{}, outcome.Resume) })
	case Retry:
		e.retry(ctx, item, outcome)
	case NotStarted:
		counters.Add("not_started", 1)
		wait := max(outcome.RetryAfter, e.opts.BackoffFirst)
		e.update(func(w *workset) { w.requeue(item, item.Attempt-1, time.Now().Add(wait), item.Resume) })
	}
}

// retry parks an item behind the rest, or ends it as a failed result after its
// last attempt: an item that can never be done must not hold up its job.
func (e *Executor) retry(ctx context.Context, item Item, outcome ItemOutcome) {
	if item.Attempt >= e.opts.MaxAttempts {
		result := outcome.Result
		if result.Code == "" {
			result.Code = protocol.CodeTargetFailed
			result.Message = "the last attempt failed"
		}
		counters.Add("gave_up", 1)
		_ = e.report(ctx, item, result)
		return
	}
	wait := max(outcome.RetryAfter, backoff(item.Attempt, e.opts))
	counters.Add("retries", 1)
	e.update(func(w *workset) { w.requeue(item, item.Attempt, time.Now().Add(wait), item.Resume) })
}

// backoff doubles from the first wait on.
func backoff(attempt int, opts Options) time.Duration {
	wait := opts.BackoffFirst
	for range attempt - 1 {
		wait = min(2*wait, opts.BackoffMax)
	}
	return wait
}

// report hands a result to the duty that appends. It waits while the ring is
// full, which in turn keeps the place in flight taken and stops new starts.
func (e *Executor) report(ctx context.Context, item Item, result bulk.Result) error {
	result.Item = item.Number
	result.CustomID = item.CustomID
	if len(result.Body) > e.opts.MaxResultBytes {
		result = bulk.Result{
			Item:      item.Number,
			CustomID:  item.CustomID,
			Status:    result.Status,
			RequestID: result.RequestID,
			Code:      protocol.CodeTooLarge,
			Message:   "the answer is larger than a batch result may be",
		}
	}
	e.unsettled.Add(int64(resultSize(&result)))
	// First handed over, then noted: a drain that saw no more runs would
	// otherwise append what is there and miss this one.
	if err := e.results.Put(ctx, finished{item: item, result: result}); err != nil {
		return trace.Wrap(err)
	}
	e.update(func(w *workset) { w.reported(item) })
	return nil
}
