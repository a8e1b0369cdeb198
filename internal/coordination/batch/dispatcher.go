package batch

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// dispatcher is the duty that puts items onto places. Each service has a lane
// of its own, so that a service without free places never holds up another.
type dispatcher struct {
	executor *Executor

	lanes sync.WaitGroup
	mu    sync.Mutex
	open  map[protocol.ServiceName]bool
	// places bounds the items in flight.
	places chan struct{}
}

// String names the duty.
func (d *dispatcher) String() string { return "batch dispatcher" }

// Serve keeps a lane running for each service with waiting items, until ctx
// ends and all runs have returned.
func (d *dispatcher) Serve(ctx context.Context) error {
	e := d.executor
	d.open = map[protocol.ServiceName]bool{}
	d.places = make(chan struct{}, e.opts.MaxInFlight)
	defer d.lanes.Wait()
	for {
		wake := e.wake()
		changed := e.journal.Changed()
		wait := d.openLanes(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-wake:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// idleDispatch is the longest time between two looks for waiting items.
const idleDispatch = time.Second

func (d *dispatcher) openLanes(ctx context.Context) time.Duration {
	e := d.executor
	if !e.mayStart() {
		return idleDispatch
	}
	now := time.Now()
	var names []protocol.ServiceName
	var unknown []Item
	var next time.Time
	e.inspect(func(w *workset) { names, unknown, next = w.ready(now, e.service) })
	for _, item := range unknown {
		e.noService(ctx, item)
	}
	for _, name := range names {
		d.openLane(ctx, name)
	}
	if !next.IsZero() {
		return min(idleDispatch, max(next.Sub(now), time.Millisecond))
	}
	return idleDispatch
}

// noService handles an item whose model no service serves now. It counts as an
// attempt: the model may come back with the next configuration.
func (e *Executor) noService(ctx context.Context, item Item) {
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
	e.finish(ctx, item, ItemOutcome{Kind: Retry, Result: bulk.Result{
		Code:    protocol.CodeUnknownModel,
		Message: "no service runs batch items of model " + string(item.Model),
	}})
}

func (d *dispatcher) openLane(ctx context.Context, name protocol.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[name] {
		return
	}
	d.open[name] = true
	d.lanes.Add(1)
	go d.lane(ctx, name)
}

// lane starts items of one service until none waits. It takes the place first
// and chooses the item after, so that the choice is made with what is known
// when the item can start.
func (d *dispatcher) lane(ctx context.Context, name protocol.ServiceName) {
	defer d.lanes.Done()
	defer d.closeLane(name)
	for d.executor.mayStart() && d.executor.waiting(name) {
		if !d.startOne(ctx, name) {
			return
		}
	}
}

func (d *dispatcher) closeLane(name protocol.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, name)
}

func (e *Executor) waiting(name protocol.ServiceName) (found bool) {
	now := time.Now()
	e.inspect(func(w *workset) {
		names, _, _ := w.ready(now, e.service)
		for _, other := range names {
			found = found || other == name
		}
	})
	return found
}

func (d *dispatcher) startOne(ctx context.Context, name protocol.ServiceName) bool {
	select {
	case d.places <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	slot, err := d.executor.slots.Acquire(ctx, name)
	if err != nil {
		<-d.places
		return false
	}
	runCtx, stop := context.WithCancelCause(ctx)
	item, ok := d.executor.start(name, stop)
	if !ok {
		stop(nil)
		slot.Release(coordination.CallResult{})
		<-d.places
		return false
	}
	d.lanes.Add(1)
	go func() {
		defer d.lanes.Done()
		defer func() { <-d.places }()
		d.executor.run(ctx, runCtx, stop, slot, item)
	}()
	return true
}

// start chooses the item for a place that was just acquired. The session is
// checked once more, since the wait for the place may have been long.
func (e *Executor) start(name protocol.ServiceName, stop context.CancelCauseFunc) (item Item, ok bool) {
	if !e.mayStart() {
		return Item{}, false
	}
	e.inspect(func(w *workset) {
		item, ok = w.start(name, time.Now(), e.service, stop)
		if ok {
			e.started++
		}
	})
	return item, ok
}
