package broker

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
)

// replacedReports counts the reports to brokers that another target uses a target's address.
var replacedReports = metrics.NewCounter(`broker_replaced_reports_total`)

// ReplacedTarget reports that another target uses the address of a target.
type ReplacedTarget struct{ Target placement.Incarnation }

// reportReplaced tells the brokers of the target's failure domain that another target uses its
// address. The instance's full reports repeat it for the brokers that come after them.
//
// Without this, a broker grants the slots of such a target to one instance after the other, and
// prefers it to others, since all its slots are free.
func (c *Client) reportReplaced(choice placement.Choice) {
	report := ReplacedTarget{Target: placement.IncarnationOf(choice.Target)}
	brokers := c.Brokers(choice.Domain)
	_ = level.Info(c.opts.Logger).Log("event", "target_replaced", "target", choice.ID, "address", choice.Address,
		"started", choice.Started, "granted_by", choice.Broker, "brokers", len(brokers))
	for _, address := range brokers {
		if address == c.opts.Self.Address {
			c.opts.Broker.MarkReplaced(report.Target)
			continue
		}
		go c.sendReplaced(address, report)
	}
}

// sendReplaced sends a report to a broker. A lost report is not repeated: the next full report
// makes up for it.
func (c *Client) sendReplaced(address string, report ReplacedTarget) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodReplaced, &report, &struct{}{}); err != nil {
		failedCalls.Inc()
		return
	}
	replacedReports.Inc()
}

// MarkReplaced records that another target uses the address of a target.
func (b *Broker) MarkReplaced(i placement.Incarnation) {
	b.update(func(time.Time) { b.allocator.core.MarkReplaced(i) })
}

// Replaced applies a report that another target uses the address of a target.
func (r *Receiver) Replaced(report *ReplacedTarget, _ *struct{}) error {
	r.broker.MarkReplaced(report.Target)
	return nil
}
