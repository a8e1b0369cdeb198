package batchjobs

import (
	"context"

	"merlintiller/internal/coordination/routed/inflight"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
)

// InFlight replicates which items were sent to targets, so that another instance has the targets checked if this one is
// lost meanwhile.
type InFlight interface {
	// Begin records a run. With confirm, it waits until another instance knows of it.
	Begin(ctx context.Context, run inflight.Run, confirm bool) (number uint64)
	// Answered records that the first event has come.
	Answered(number uint64)
	// End records that the run has ended, and that it is known whether its target ended.
	End(number uint64)
}

// checkedCallback returns what is called once it is known whether the target of the run has ended.
func (t *task) checkedCallback() func() {
	end := t.takeReplicated()
	t.unchecked.Add(1)
	return func() {
		t.unchecked.Add(-1)
		if end != nil {
			end()
		}
	}
}

// awaitsCheck reports whether the item may have ended as many targets as it may, but for one: then it waits until it is
// known of those at which it was left whether they ended.
func (t *task) awaitsCheck() bool {
	unchecked := int(t.unchecked.Load())
	return unchecked > 0 && t.runner.opts.Quarantine.PossibleEnds(t.subject)+unchecked >= quarantine.MaxEndedTargets-1
}

// replicate tells another instance of the run that begins. One that may end a further target begins only once that
// instance knows of it.
func (t *task) replicate(ctx context.Context, choice placement.Choice) {
	if t.runner.opts.InFlight == nil {
		return
	}
	t.replicated = t.runner.opts.InFlight.Begin(ctx, inflight.Run{
		Key: t.subject.Key, ID: t.subject.ID, Target: choice.ID, Address: choice.Address, Domain: choice.Domain, Started: t.targetStarted,
		Position: t.position, Parts: t.subject.Parts, Trial: t.trial,
	}, t.runner.opts.Quarantine.PossibleEnds(t.subject) > 0)
}

// takeReplicated returns what ends the replicated run once the check of its target is complete: the other instance has
// the target checked as well, if this one is lost before.
func (t *task) takeReplicated() func() {
	number, registry := t.replicated, t.runner.opts.InFlight
	if number == 0 {
		return nil
	}
	t.replicated = 0
	return func() { registry.End(number) }
}

// endReplicated records that the run has ended, unless its target is checked.
func (t *task) endReplicated() {
	if end := t.takeReplicated(); end != nil {
		end()
	}
}
