package relay

import (
	"context"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/external"
	"merlintiller/internal/wait"
)

// isClosed reports whether the request may go to no target, since it or parts of its prompt are closed,
// and sets the outcome if so. A request that is the trial of what is closed may go to one target.
func (c *call) isClosed() bool {
	if c.isTrial && c.outcome.Attempts == 0 {
		return false
	}
	decision := c.opts.Quarantine.Check(c.subject)
	if decision.Trial {
		c.isTrial = true
		c.outcome.Closure = &decision.Closure
	}
	if !decision.Closed {
		return false
	}
	c.outcome.Closure = &decision.Closure
	c.outcome.Reason = PartClosed
	if decision.Closure.OfRequest() {
		c.outcome.Reason = RequestClosed
	}
	switch {
	case c.headSent:
		c.outcome.Reason = Truncated
	case c.outcome.PossibleRuns == 0:
		c.outcome.RetryAfter = decision.RetryAfter
	}
	return true
}

// subjectOf returns what the quarantine decides on.
func subjectOf(request *RoutedRequest) quarantine.Request {
	return quarantine.Request{
		ID: request.Request.ID, Key: quarantine.OnlineKey(request.Organisation, request.Request), Parts: request.Request.Prompt.SharedParts(),
	}
}

// reportLost reports a request whose target closed the connection before the answer was complete.
func (c *call) reportLost(choice placement.Choice, err error) {
	end := external.EndOf(err)
	if end != external.EndClosed && end != external.EndReset {
		return
	}
	c.lostTargets++
	c.opts.Quarantine.Lost(quarantine.LostRequest{
		Request: c.subject, Target: choice.ID, Address: choice.Address, Domain: choice.Domain, Started: c.started,
		Events: c.attemptEvents, Position: c.lastEvent, Ran: c.attemptRan(), Trial: c.isTrial, At: time.Now(),
	})
}

// endTrial lets another request be the trial if this one was it and was not sent, or ended for a reason that tells
// nothing: it was refused, for example, or its caller disconnected.
func (c *call) endTrial() {
	if c.isTrial && c.lostTargets == 0 && c.outcome.Reason != Relayed {
		c.opts.Quarantine.TrialEnded(c.subject, c.attemptRan())
	}
}

// attemptRan returns how long ago the current attempt brought its first event, 0 if it brought none.
func (c *call) attemptRan() time.Duration {
	if c.attemptEvents == 0 {
		return 0
	}
	return time.Since(c.firstEventAt)
}

// awaitTargetCheck waits until it is known whether the last target ended, if the request may have ended as
// many as it may: that takes longer than to send it to the next one.
func (c *call) awaitTargetCheck(ctx context.Context) {
	known, _ := c.opts.Quarantine.Ends(c.subject)
	if known+c.lostTargets >= quarantine.MaxEndedTargets {
		wait.For(ctx, quarantine.EndKnownAfter)
	}
}
