package relay

import (
	"context"

	"merlintiller/internal/coordination/routed/inflight"
	"merlintiller/internal/coordination/routed/placement"
)

// InFlight replicates which requests were sent to targets, so that another instance has the targets checked if this one
// is lost meanwhile.
type InFlight interface {
	// Begin records an attempt. With confirm, it waits until another instance knows of it.
	Begin(ctx context.Context, run inflight.Run, confirm bool) (number uint64)
	// Answered records that the first event has come.
	Answered(number uint64)
	// End records that the attempt has ended, and that it is known whether its target ended.
	End(number uint64)
}

// replicate tells another instance of the attempt that begins. One that may end a further target begins only once that
// instance knows of it.
func (c *call) replicate(ctx context.Context, choice placement.Choice) {
	if c.opts.InFlight == nil {
		return
	}
	c.replicated = c.opts.InFlight.Begin(ctx, inflight.Run{
		Key: c.subject.Key, ID: c.subject.ID, Target: choice.ID, Address: choice.Address, Domain: choice.Domain, Started: c.started,
		Position: c.lastEvent, Parts: c.subject.Parts, Trial: c.isTrial,
	}, c.opts.Quarantine.PossibleEnds(c.subject) > 0)
}

// checkedCallback returns what is called once it is known whether the target of the attempt has ended. The other instance
// has the target checked as well, if this one is lost before.
func (c *call) checkedCallback() func() {
	number := c.replicated
	c.replicated = 0
	c.unchecked.Add(1)
	return func() {
		c.unchecked.Add(-1)
		if number != 0 {
			c.opts.InFlight.End(number)
		}
	}
}

// attemptAnswered records that the first event of the attempt has come.
func (c *call) attemptAnswered() {
	c.opts.Quarantine.Began(c.subject)
	if c.replicated != 0 {
		c.opts.InFlight.Answered(c.replicated)
	}
}

// endReplicated records that the attempt has ended, unless its target is checked.
func (c *call) endReplicated() {
	if c.replicated != 0 {
		c.opts.InFlight.End(c.replicated)
		c.replicated = 0
	}
}
