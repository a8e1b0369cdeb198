package batchjobs

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/wait"
)

const (
	// deliverEvery is how often a holder is looked for, deliverFor how long.
	// After that the item is run again by whoever holds its partition.
	deliverEvery = 200 * time.Millisecond
	deliverFor   = 10 * time.Second
)

// Part is the output of an item that is not whole.
type Part struct {
	Job, Item string
	Text      string
	Events    int
	// Position is the last event of it.
	Position int
	// Worked is the time that runs have taken so far.
	Worked time.Duration
	// Failures are the runs that targets ended as failed.
	Failures int
}

// FinishCall tells the holder of a partition that an item was done elsewhere.
type FinishCall struct {
	Job    string
	Result ResultOf
}

// delivers counts a result that will be delivered. The item stays claimed until
// it is. It needs the lock.
func (r *Runner) delivers(f finished) {
	r.handing.Add(1)
	r.delivering[itemID{f.job, f.result.Item}] = true
}

// deliver tells the holder of a partition of a result, which delivers has counted.
func (r *Runner) deliver(f finished) {
	call := FinishCall{Job: f.job, Result: ResultOf(f.result)}
	r.toHolder(f.job, f.result.Item, methodFinish, &call, func(h *holding) { h.finish(f) })
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.delivering, itemID{f.job, f.result.Item})
}

// deliverPart hands the output of an item that is not whole to the holder. The
// caller has counted it in handing.
func (r *Runner) deliverPart(p Part) {
	r.toHolder(p.Job, p.Item, methodHandBack, &p, func(h *holding) { h.takeBack(p) })
}

// toHolder calls whoever holds the partition of a job, as soon as that is known.
func (r *Runner) toHolder(job, item, method string, args any, here func(*holding)) {
	defer r.handing.Add(-1)
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	number := r.opts.partitionOf(job).Number
	ctx, cancel := context.WithTimeout(ctx, deliverFor)
	defer cancel()
	for ctx.Err() == nil {
		if h, ok := r.local(number); ok {
			here(h)
			return
		}
		if r.callHolder(ctx, number, method, args) {
			_ = level.Info(r.opts.Logger).Log("event", "item_handed_over", "item", item, "job", job, "call", method)
			return
		}
		wait.For(ctx, deliverEvery)
	}
	_ = level.Warn(r.opts.Logger).Log("event", "item_not_handed_over", "item", item, "job", job, "call", method)
}

func (r *Runner) callHolder(ctx context.Context, number int, method string, args any) bool {
	holder, ok := r.opts.Peers.OwnerOf(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply JobReply
	err := r.opts.Caller.Call(ctx, holder.Address, method, args, &reply)
	return err == nil && reply.Verdict == Done
}

// part is what a task has of its output.
func (t *task) part() Part {
	return Part{
		Job: t.id.job, Item: t.id.item, Text: t.text.String(),
		Events: t.events, Position: t.position, Worked: t.worked, Failures: t.failures,
	}
}

// adopt goes on from what another instance has of the output, if that is more, and
// counts the failures that it saw.
//
// What goes wrong without the failures: partitions are dealt anew again and again, as
// in a rolling stop. Each new holder would try an item that always fails as often as
// its route allows, and the item would be at targets for as long as that goes on.
func (t *task) adopt(p Part, ok bool) {
	if ok && p.Failures > t.failures {
		t.failures = p.Failures
		t.output.failed(t.failures)
		t.text.Reset()
		t.events, t.position, t.worked = 0, exchange.FromStart, 0
	}
	if !ok || p.Events <= t.events {
		return
	}
	t.text.Reset()
	t.text.WriteString(p.Text)
	t.events, t.position, t.worked = p.Events, p.Position, p.Worked
	t.output.begin()
	t.output.add(p.Text, p.Events, p.Position)
}

// takeBack keeps what another instance has of an item's output until the item is
// run. It is lost with this instance, which costs the work and nothing else.
func (h *holding) takeBack(p Part) {
	id := itemID{p.Job, p.Item}
	h.mu.Lock()
	h.parts[id] = p
	h.mu.Unlock()
	if h.onPart != nil {
		h.onPart(id, p)
	}
}

func (h *holding) handedBack(id itemID) (Part, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.parts[id]
	delete(h.parts, id)
	return p, ok
}

// takeFinished empties the list of results that are still to be listed.
func (h *holding) takeFinished() []finished {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.finished
	h.finished = nil
	return taken
}

// partCame takes over the output of an item that waits here.
func (r *Runner) partCame(id itemID, p Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[id]; t != nil && t.cancel == nil {
		t.adopt(p, true)
	}
}
