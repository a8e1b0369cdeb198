package relay

import (
	"context"

	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// findOrigin finds out at which software version the stream began that the caller takes up.
// It returns false, with the outcome set, if the stream can't go on anywhere.
func (c *call) findOrigin(ctx context.Context) bool {
	if c.Route.Kind != route.Stream || c.Request.After == exchange.FromStart {
		return true
	}
	c.origin = c.opts.Origins.Find(ctx, c.Service, c.Request.Resumes)
	switch {
	case c.contextEnded(ctx):
		return false
	case !c.origin.Known():
		c.outcome.Reason = VersionUnknown
		return false
	case !c.opts.Placer.HasTargets(placement.Requirements{Service: c.Service, Versions: c.origin.Versions()}):
		c.outcome.Reason = VersionGone
		return false
	}
	return true
}

// streamBegins records the software version of the target that sends the first event of the
// stream. From then on the stream may go on only at targets of that version. Other instances
// need to know it only if callers may take the stream up.
func (c *call) streamBegins(choice placement.Choice, monitor *stallMonitor) {
	if c.origin.Source != "" {
		return
	}
	c.origin = origin.Origin{Version: choice.Version, Source: origin.Answer}
	monitor.requireVersion(choice.Version)
	if c.origin.Known() && c.Route.Repeatable() {
		c.opts.Origins.Began(c.Service, c.Request.ID, choice.Version)
	}
}

// mayGoOn reports whether the request may run at another target, as far as software versions
// matter, and what the caller has received. Only the events of a stream have numbers by which a
// further run can be joined to it.
func (c *call) mayGoOn() bool {
	if c.bodyBegan {
		return false
	}
	return c.origin.Source == "" || c.origin.Known()
}
