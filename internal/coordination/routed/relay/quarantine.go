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
func (c *call) isClosed(ctx context.Context) bool {
	if c.isTrial && c.outcome.Attempts == 0 {
		return false
	}
	decision := c.opts.Quarantine.Check(c.subject)
	if decision.Claimed && wait.For(ctx, quarantine.SuspendedClaimTime) {
		decision = c.opts.Quarantine.Check(c.subject)
	}
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

// silenceLimit is the time without data from a target after which the target of an attempt that ends is checked. It is
// no longer than that after which an attempt counts as stalled.
const silenceLimit = minFirstByteTimeout

// reportLost reports an attempt that ended without its whole answer, if the target closed the connection or was silent:
// one that hangs, or whose host is gone, closes no connection. Callers leave all the time, so one that leaves after a usual
// silence counts only if targets have ended under its request before.
func (c *call) reportLost(choice placement.Choice, err error) {
	end := external.EndOf(err)
	left := end != external.EndClosed && end != external.EndReset
	lost := c.lostRequest(choice)
	lost.Brief = left && time.Since(c.lastDataAt) < silenceLimit
	if end == external.EndRefused || lost.Brief && c.opts.Quarantine.PossibleEnds(c.subject) == 0 {
		return
	}
	lost.Checked = c.checkedCallback()
	if left {
		if !lost.Brief {
			c.leftTargets++
		}
		c.opts.Quarantine.Left(lost)
		return
	}
	c.lostTargets++
	c.opts.Quarantine.Lost(lost)
}

// lostRequest returns what the quarantine is told of the current attempt.
func (c *call) lostRequest(choice placement.Choice) quarantine.LostRequest {
	return quarantine.LostRequest{
		Request: c.subject, Target: choice.ID, Address: choice.Address, Domain: choice.Domain, Started: c.started,
		Events: c.attemptEvents, Position: c.lastEvent, Ran: c.attemptRan(), Trial: c.isTrial, SentAt: c.sentAt, At: time.Now(), DataAt: c.lastDataAt,
	}
}

// endTrial lets another request be the trial if this one was it and was not sent, or ended for a reason that tells
// nothing: it was refused, for example, or its caller disconnected.
func (c *call) endTrial() {
	if c.isTrial && c.lostTargets == 0 && c.outcome.Reason != Relayed {
		c.opts.Quarantine.TrialEnded(c.subject, c.attemptRan())
	}
}

// attemptRan returns the time from the first to the last event of the current attempt, 0 if it brought none. A target
// that hangs does not work.
func (c *call) attemptRan() time.Duration {
	if c.attemptEvents == 0 {
		return 0
	}
	return c.lastDataAt.Sub(c.firstEventAt)
}

// awaitTargetCheck waits until it is known whether the last targets ended, if the request may have ended as
// many as it may: that takes longer than to send it to the next one, and longest for a target that answers but may hang.
func (c *call) awaitTargetCheck(ctx context.Context) {
	possible := c.opts.Quarantine.PossibleEnds(c.subject) + c.lostTargets + c.leftTargets
	if possible < quarantine.MaxEndedTargets {
		return
	}
	for waited := time.Duration(0); wait.For(ctx, quarantine.EndKnownAfter); {
		waited += quarantine.EndKnownAfter
		known := c.opts.Quarantine.PossibleEnds(c.subject) >= quarantine.MaxEndedTargets
		if known || c.unchecked.Load() == 0 || c.leftTargets == 0 || waited >= quarantine.WorkKnownAfter {
			return
		}
	}
}
