package batch

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// dispatcher is the background service that starts items on slots. Each service
// has a goroutine of its own, its service loop, so that a service without free
// slots never blocks another.
type dispatcher struct {
	executor *Executor

	// loops counts the running service loops and runs.
	loops sync.WaitGroup
	mu    sync.Mutex
	// active contains the services that have a running service loop.
	active map[protocol.ServiceName]bool
	// inFlight is a semaphore that limits the items in flight.
	inFlight chan struct{}
}

// String returns the name of the service for the supervisor.
func (d *dispatcher) String() string { return "batch dispatcher" }

// Serve keeps a service loop running for each service with waiting items. It
// returns when ctx has ended and all runs have returned.
func (d *dispatcher) Serve(ctx context.Context) error {
	e := d.executor
	d.active = map[protocol.ServiceName]bool{}
	d.inFlight = make(chan struct{}, e.opts.MaxInFlight)
	defer d.loops.Wait()
	for {
		workChanged := e.workChanged()
		journalChanged := e.journal.Changed()
		wait := d.startLoops(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-workChanged:
		case <-journalChanged:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// maxDispatchInterval is the maximum time between two checks for waiting items.
const maxDispatchInterval = time.Second

// startLoops starts the service loops that are needed and returns the time until
// the next check.
func (d *dispatcher) startLoops(ctx context.Context) time.Duration {
	e := d.executor
	if !e.mayStart() {
		return maxDispatchInterval
	}
	now := time.Now()
	var names []protocol.ServiceName
	var unknown []Item
	var next time.Time
	e.inspect(func(w *workset) { names, unknown, next = w.ready(now, e.serviceFor) })
	for _, item := range unknown {
		e.handleUnknownModel(ctx, item)
	}
	for _, name := range names {
		d.startLoop(ctx, name)
	}
	if !next.IsZero() {
		return min(maxDispatchInterval, max(next.Sub(now), time.Millisecond))
	}
	return maxDispatchInterval
}

// handleUnknownModel handles an item whose model no service can serve at the
// moment. This counts as a failed attempt and the item is retried, because the
// next configuration may contain the model again.
func (e *Executor) handleUnknownModel(ctx context.Context, item Item) {
	started := false
	e.update(func(w *workset) {
		_, t := w.find(item)
		if t != nil && t.state == taskWaiting {
			t.state = taskRunning
			t.stop = func(error) {}
			item = t.item
			item.Attempt = t.attempts + 1
			started = true
		}
	})
	if !started {
		return
	}
	e.handleOutcome(ctx, item, ItemOutcome{Kind: Retry, Result: bulk.Result{
		Code:    protocol.CodeUnknownModel,
		Message: "no service is configured for batch items of model " + string(item.Model),
	}})
}

// startLoop starts the loop of a service if it is not running.
func (d *dispatcher) startLoop(ctx context.Context, name protocol.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[name] {
		return
	}
	d.active[name] = true
	d.loops.Add(1)
	go d.serviceLoop(ctx, name)
}

// serviceLoop starts items of one service until none is waiting. It acquires the
// slot before it selects the item, so that the selection uses the latest state.
func (d *dispatcher) serviceLoop(ctx context.Context, name protocol.ServiceName) {
	defer d.loops.Done()
	defer d.loopEnded(name)
	for d.executor.mayStart() && d.executor.hasReadyItem(name) {
		if !d.startNext(ctx, name) {
			return
		}
	}
}

// loopEnded records that the loop of a service has ended.
func (d *dispatcher) loopEnded(name protocol.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, name)
}

// hasReadyItem reports whether an item of the service can start now.
func (e *Executor) hasReadyItem(name protocol.ServiceName) (found bool) {
	now := time.Now()
	e.inspect(func(w *workset) {
		names, _, _ := w.ready(now, e.serviceFor)
		for _, other := range names {
			found = found || other == name
		}
	})
	return found
}

// startNext waits for a slot and starts the next item of the service on it. It
// reports false if no item was started.
func (d *dispatcher) startNext(ctx context.Context, name protocol.ServiceName) bool {
	select {
	case d.inFlight <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	slot, err := d.executor.slots.Acquire(ctx, name)
	if err != nil {
		<-d.inFlight
		return false
	}
	runCtx, stop := context.WithCancelCause(ctx)
	item, ok := d.executor.assignItem(name, slot.Pick().Version, stop)
	if !ok {
		stop(nil)
		slot.Release(coordination.CallResult{})
		<-d.inFlight
		return false
	}
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		defer func() { <-d.inFlight }()
		d.executor.run(ctx, runCtx, stop, slot, item)
	}()
	return true
}

// assignItem selects the item for a slot that was just acquired. It checks the
// session again, because the wait for the slot may have been long.
func (e *Executor) assignItem(name protocol.ServiceName, version string, stop context.CancelCauseFunc) (item Item, ok bool) {
	if !e.mayStart() {
		return Item{}, false
	}
	e.inspect(func(w *workset) {
		item, ok = w.start(name, version, time.Now(), e.serviceFor, stop)
		if ok {
			e.started++
		}
	})
	return item, ok
}
