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
	deliveryRetryInterval = 200 * time.Millisecond
	deliveryTimeout       = 10 * time.Second
)

// Part is the output of an item that is not whole.
type PartialOutput struct {
	Job, Item string
	Text      string
	Events    int
	// Position is the last event of it.
	Position int
	// Worked is the time that runs have taken so far.
	RunTime time.Duration `cbor:"Worked"`
	// Failures are the runs that targets ended as failed.
	Failures int
}

// FinishCall tells the holder of a partition that an item was done elsewhere.
type FinishCall struct {
	Job    string
	Result ItemResult
}

// delivers counts a result that will be delivered. The item stays claimed until
// it is. It needs the lock.
func (r *Runner) startDelivery(f finishedItem) {
	r.handOvers.Add(1)
	r.delivering[itemID{f.job, f.result.Item}] = true
}

// deliver tells the holder of a partition of a result, which delivers has counted.
func (r *Runner) deliverResult(f finishedItem) {
	call := FinishCall{Job: f.job, Result: ItemResult(f.result)}
	r.sendToOwner(f.job, f.result.Item, methodFinish, &call, func(p *partitionReplica) { p.addResult(f) })
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.delivering, itemID{f.job, f.result.Item})
}

// deliverPart hands the output of an item that is not whole to the holder. The
// caller has counted it in handing.
func (r *Runner) deliverPartialOutput(output PartialOutput) {
	r.sendToOwner(output.Job, output.Item, methodHandBack, &output, func(p *partitionReplica) { p.addPartialOutput(output) })
}

// toHolder calls whoever holds the partition of a job, as soon as that is known.
func (r *Runner) sendToOwner(job, item, method string, args any, local func(*partitionReplica)) {
	defer r.handOvers.Add(-1)
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	number := r.opts.partitionOf(job).Number
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if p, ok := r.replicaOf(number); ok {
			local(p)
			return
		}
		if r.callOwner(ctx, number, method, args) {
			_ = level.Info(r.opts.Logger).Log("event", "item_handed_over", "item", item, "job", job, "call", method)
			return
		}
		wait.For(ctx, deliveryRetryInterval)
	}
	_ = level.Warn(r.opts.Logger).Log("event", "item_not_handed_over", "item", item, "job", job, "call", method)
}

func (r *Runner) callOwner(ctx context.Context, number int, method string, args any) bool {
	holder, ok := r.opts.Peers.Holder(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply JobReply
	err := r.opts.Caller.Call(ctx, holder.Address, method, args, &reply)
	return err == nil && reply.Verdict == Done
}

// part is what a task has of its output.
func (t *task) partialOutput() PartialOutput {
	return PartialOutput{
		Job: t.id.job, Item: t.id.item, Text: t.text.String(),
		Events: t.events, Position: t.position, RunTime: t.runTime, Failures: t.failures,
	}
}

// adopt goes on from what another instance has of the output, if that is more, and
// counts the failures that it saw.
//
// What goes wrong without the failures: partitions are dealt anew again and again, as
// in a rolling stop. Each new holder would try an item that always fails as often as
// its route allows, and the item would be at targets for as long as that goes on.
func (t *task) adopt(output PartialOutput, ok bool) {
	if ok && output.Failures > t.failures {
		t.failures = output.Failures
		t.output.resetAfterFailure(t.failures)
		t.text.Reset()
		t.events, t.position, t.runTime = 0, exchange.FromStart, 0
	}
	if !ok || output.Events <= t.events {
		return
	}
	t.text.Reset()
	t.text.WriteString(output.Text)
	t.events, t.position, t.runTime = output.Events, output.Position, output.RunTime
	t.output.reset()
	t.output.add(output.Text, output.Events, output.Position)
}

// takeBack keeps what another instance has of an item's output until the item is
// run. It is lost with this instance, which costs the work and nothing else.
func (p *partitionReplica) addPartialOutput(output PartialOutput) {
	id := itemID{output.Job, output.Item}
	p.mu.Lock()
	p.partialOutputs[id] = output
	p.mu.Unlock()
	if p.onPartialOutput != nil {
		p.onPartialOutput(id, output)
	}
}

func (p *partitionReplica) takePartialOutput(id itemID) (PartialOutput, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, ok := p.partialOutputs[id]
	delete(p.partialOutputs, id)
	return output, ok
}

// takeFinished empties the list of results that are still to be listed.
func (p *partitionReplica) takeUnpublished() []finishedItem {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.unpublished
	p.unpublished = nil
	return taken
}

// partCame takes over the output of an item that waits here.
func (r *Runner) adoptPartialOutput(id itemID, output PartialOutput) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[id]; t != nil && t.cancel == nil {
		t.adopt(output, true)
	}
}
