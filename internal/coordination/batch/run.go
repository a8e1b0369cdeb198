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

// run runs one item on a slot and handles its outcome. ctx belongs to the
// dispatcher, runCtx to this run only.
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
	e.handleOutcome(ctx, item, outcome)
}

// handleOutcome queues the result of an item after a run, or returns the item to
// the work set.
func (e *Executor) handleOutcome(ctx context.Context, item Item, outcome ItemOutcome) {
	switch outcome.Kind {
	case Done:
		_ = e.queueResult(ctx, item, outcome.Result)
	case Interrupted:
		counters.Add("interrupted", 1)
		e.update(func(w *workset) { w.requeue(item, item.Attempt-1, time.Time{}, outcome.Resume) })
	case Retry:
		e.retryOrFail(ctx, item, outcome)
	case NotStarted:
		counters.Add("not_started", 1)
		wait := max(outcome.RetryAfter, e.opts.BackoffFirst)
		e.update(func(w *workset) { w.requeue(item, item.Attempt-1, time.Now().Add(wait), item.Resume) })
	}
}

// retryOrFail returns an item to the work set after a failed run. After the last
// attempt it queues a failed result instead, so that an item that always fails
// does not block its job.
func (e *Executor) retryOrFail(ctx context.Context, item Item, outcome ItemOutcome) {
	if item.Attempt >= e.opts.MaxAttempts {
		result := outcome.Result
		if result.Code == "" {
			result.Code = protocol.CodeTargetFailed
			result.Message = "the last attempt to run the item failed"
		}
		counters.Add("gave_up", 1)
		_ = e.queueResult(ctx, item, result)
		return
	}
	wait := max(outcome.RetryAfter, backoff(item.Attempt, e.opts))
	counters.Add("retries", 1)
	e.update(func(w *workset) { w.requeue(item, item.Attempt, time.Now().Add(wait), item.Resume) })
}

// backoff returns the delay after a failed attempt. It doubles with each attempt,
// from BackoffFirst up to BackoffMax.
func backoff(attempt int, opts Options) time.Duration {
	wait := opts.BackoffFirst
	for range attempt - 1 {
		wait = min(2*wait, opts.BackoffMax)
	}
	return wait
}

// queueResult passes a result to flusher. It blocks while the ring is full. The
// item then still counts as in flight, which prevents new items from starting.
func (e *Executor) queueResult(ctx context.Context, item Item, result bulk.Result) error {
	result.Item = item.Number
	result.CustomID = item.CustomID
	if len(result.Body) > e.opts.MaxResultBytes {
		result = bulk.Result{
			Item:      item.Number,
			CustomID:  item.CustomID,
			Status:    result.Status,
			RequestID: result.RequestID,
			Code:      protocol.CodeTooLarge,
			Message:   "the response exceeds the maximum size of a batch result",
		}
	}
	e.unrecordedBytes.Add(int64(resultSize(&result)))
	// Queue the result before the work set is updated. In the reverse order a
	// drain could see that no item is running and flush before this result is in
	// the ring.
	if err := e.results.Put(ctx, itemResult{item: item, result: result}); err != nil {
		return trace.Wrap(err)
	}
	e.update(func(w *workset) { w.resultQueued(item) })
	return nil
}
