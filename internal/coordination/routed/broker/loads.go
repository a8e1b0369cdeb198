package broker

import (
	"context"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
)

// unreportedMargin is how many more requests than the broker knew of at the grant a target may
// have before its load is reported to the broker. One more may be a slot that was granted or
// freed while the answer was in flight.
const unreportedMargin = 2

// ReportsPace reports whether targets of a service report how long work takes at them.
func (c *Client) ReportsPace(service string) bool { return c.opts.Local.ReportsPace(service) }

// LoadReport is the load that a target reported in an answer.
type LoadReport struct {
	Target string
	Load   exchange.Load
}

// ReportLoad applies a load report of a target, and forwards it to the broker that granted the
// slot if the target has more requests than that broker knew of. load may be nil.
//
// Without this, a broker grants slots that are still occupied when a network partition isolates
// a failure domain or instances lose power. The requests that these instances sent to targets
// of other domains run to their end, while the broker counts their slots as free again. New
// requests then wait in the queues of targets for as long as a batch item takes. The symptom is
// late requests that did not wait for a slot, a few seconds after a partition at the peak.
func (c *Client) ReportLoad(choice placement.Choice, load *exchange.Load) {
	if load == nil {
		return
	}
	c.opts.Local.ApplyLoad(choice.ID, load)
	// The broker stores and states at most MaxPace. A larger pace would differ from each grant.
	c.reportPace(choice, pace.Observation{Target: choice.ID, Percent: min(load.Pace, pace.MaxPace)})
	switch {
	case choice.Broker == "":
	case choice.Broker == c.opts.Self.Address:
		c.opts.Broker.ApplyLoad(choice.ID, *load)
	case choice.Unaccounted > 0 || load.Running+load.Waiting > choice.Busy+unreportedMargin:
		go c.sendLoad(choice.Broker, LoadReport{Target: choice.ID, Load: *load})
	}
}

// sendLoad sends a target's load to a broker. A lost report is not repeated: the target's next
// answer causes another one.
func (c *Client) sendLoad(address string, report LoadReport) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodLoaded, &report, &struct{}{}); err != nil {
		failedCalls.Inc()
		return
	}
	loadReports.Inc()
}

// Loaded applies a load report of a target.
func (r *Receiver) Loaded(report *LoadReport, _ *struct{}) error {
	r.broker.ApplyLoad(report.Target, report.Load)
	return nil
}
