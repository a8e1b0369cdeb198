package broker

import (
	"context"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
)

// unknownRuns is how many more requests a target must have than its broker knew of
// when it gave the slot, for the broker to be told. One more may be a slot that was
// given or freed while the answer was on its way.
const unknownRuns = 2

// LoadReport is what a target said of its load in an answer.
type LoadReport struct {
	Target string
	Load   exchange.Load
}

// Told takes in what a target says of its load, and tells the broker that gave
// the slot if that knows less.
//
// What goes wrong without it: a failure domain is cut off, or instances lose power.
// What they had sent to targets elsewhere goes on running there, to its end, while
// the broker counts those slots as free again. It gives them away, and requests
// stand in the queues of targets for as long as a batch item takes. It shows as late
// requests that did not wait for a slot, a few seconds after a cut at the peak.
func (c *Client) ReportLoad(choice placement.Choice, load *exchange.Load) {
	if load == nil {
		return
	}
	c.opts.Local.ApplyLoad(choice.ID, load)
	switch {
	case choice.Broker == "":
	case choice.Broker == c.opts.Self.Address:
		c.opts.Broker.Loaded(choice.ID, *load)
	case choice.Unaccounted > 0 || load.Running+load.Waiting > choice.Busy+unknownRuns:
		go c.report(choice.Broker, LoadReport{Target: choice.ID, Load: *load})
	}
}

// report tells a broker of a target's load. If it is lost, the next answer tells
// again.
func (c *Client) report(address string, report LoadReport) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodLoaded, &report, &struct{}{}); err != nil {
		unanswered.Inc()
		return
	}
	loadReports.Inc()
}

// Loaded takes over what a target said of its load.
func (r *Receiver) Loaded(report *LoadReport, _ *struct{}) error {
	r.broker.Loaded(report.Target, report.Load)
	return nil
}
