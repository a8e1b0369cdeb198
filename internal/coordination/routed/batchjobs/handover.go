package batchjobs

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/wait"
)

const (
	// deliveryRetryInterval is how often the runner tries to reach the owner of a
	// partition, deliveryTimeout for how long. After that, the owner runs the item
	// again.
	deliveryRetryInterval = 200 * time.Millisecond
	deliveryTimeout       = 10 * time.Second
)

// PartialOutput is the incomplete output of an item. net/rpc (gob) sends its fields
// under their Go names.
type PartialOutput struct {
	Job, Item string
	Text      string
	Events    int
	// Position is the position of its last event.
	Position int
	// Version is the software version of the targets that all events come from. Empty: not
	// known, also if the sender's release does not know it.
	Version string
	// Worked is the time that runs have taken so far.
	Worked time.Duration
	// Failures counts the runs that targets reported as failed.
	Failures int
}

// FinishCall gives the owner of a partition the result of an item that another
// instance ran.
type FinishCall struct {
	Job    string
	Result ItemResult
}

// startDelivery registers a result for delivery. The item stays claimed until the
// result is delivered. The caller holds the lock.
func (r *Runner) startDelivery(f finishedItem) {
	r.handOvers.Add(1)
	r.delivering[itemID{f.job, f.result.Item}] = true
}

// deliverResult sends the owner of a partition a result that startDelivery has
// registered.
func (r *Runner) deliverResult(f finishedItem) {
	call := FinishCall{Job: f.job, Result: ItemResult(f.result)}
	r.sendToOwner(f.job, f.result.Item, methodFinish, &call, func(p *partitionReplica) { p.addResult(f) })
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.delivering, itemID{f.job, f.result.Item})
}

// deliverPartialOutput sends incomplete output to the owner of the item's partition.
// The caller has counted it in handOvers.
func (r *Runner) deliverPartialOutput(output PartialOutput) {
	r.sendToOwner(output.Job, output.Item, methodHandBack, &output, func(p *partitionReplica) { p.addPartialOutput(output) })
}

// sendToOwner calls the owner of a job's partition, and retries until there is one
// that answers. If this instance is the owner, it calls local instead.
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

// callOwner calls the owner of a partition once.
func (r *Runner) callOwner(ctx context.Context, number int, method string, args any) bool {
	owner, ok := r.opts.Peers.OwnerOf(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply JobReply
	err := r.opts.Caller.Call(ctx, owner.Address, method, args, &reply)
	return err == nil && reply.Verdict == Done
}

// partialOutput is the task's output so far.
func (t *task) partialOutput() PartialOutput {
	return PartialOutput{
		Job: t.id.job, Item: t.id.item, Text: t.text.String(),
		Events: t.events, Position: t.position, Version: t.version, Worked: t.runTime, Failures: t.failures,
	}
}

// adopt continues from another instance's output if that is longer, and adopts its
// count of failures if that is higher.
//
// The failures matter when partitions are reassigned repeatedly, as during a rolling
// restart. Otherwise each new owner would run an item that always fails as often as its
// route allows, and the item would occupy targets for as long as the restart takes.
func (t *task) adopt(output PartialOutput, ok bool) {
	if ok && output.Failures > t.failures {
		t.failures = output.Failures
		t.output.resetAfterFailure(t.failures)
		t.text.Reset()
		t.events, t.position, t.version, t.runTime = 0, exchange.FromStart, "", 0
	}
	if !ok || output.Events <= t.events {
		return
	}
	t.text.Reset()
	t.text.WriteString(output.Text)
	t.events, t.position, t.version, t.runTime = output.Events, output.Position, output.Version, output.Worked
	t.output.reset()
	t.output.setVersion(output.Version)
	t.output.add(output.Text, output.Events, output.Position)
}

// addPartialOutput keeps another instance's output of an item until the item runs.
// If this instance dies, the output is lost and its work is repeated. Of output that is no
// UTF-8, which an earlier release may send, only the failures are kept: its result could not
// be written.
func (p *partitionReplica) addPartialOutput(output PartialOutput) {
	id := itemID{output.Job, output.Item}
	if !utf8.ValidString(output.Text) {
		_ = level.Warn(p.logger).Log("event", "item_output_dropped", "item", output.Item, "job", output.Job, "events", output.Events, "reason", "invalid_utf8")
		output = PartialOutput{Job: output.Job, Item: output.Item, Position: exchange.FromStart, Failures: output.Failures}
	}
	p.mu.Lock()
	p.partialOutputs[id] = output
	p.mu.Unlock()
	if p.onPartialOutput != nil {
		p.onPartialOutput(id, output)
	}
}

// takePartialOutput removes and returns the output kept for an item.
func (p *partitionReplica) takePartialOutput(id itemID) (PartialOutput, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, ok := p.partialOutputs[id]
	delete(p.partialOutputs, id)
	return output, ok
}

// takeUnpublished removes and returns the results that wait for publication.
func (p *partitionReplica) takeUnpublished() []finishedItem {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.unpublished
	p.unpublished = nil
	return taken
}

// adoptPartialOutput adopts the output for a waiting item.
func (r *Runner) adoptPartialOutput(id itemID, output PartialOutput) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[id]; t != nil && t.cancel == nil {
		t.adopt(output, true)
	}
}
