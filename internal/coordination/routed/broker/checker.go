package broker

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// checkTimeout bounds a question to a target how it is.
	checkTimeout = 150 * time.Millisecond
	// failedAgain is the time between two reports of an instance that a target failed.
	failedAgain = 100 * time.Millisecond
)

var checked = metrics.NewCounter(`target_checks_total`)

// HealthChecker asks targets how they are that may have started anew. It is a duty.
type HealthChecker struct {
	Broker  *Broker
	Targets external.HealthChecker
	Logger  log.Logger
}

// String names the duty.
func (c *HealthChecker) String() string { return "checker" }

// Serve asks until ctx ends.
func (c *HealthChecker) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		due, open := c.Broker.checkups(time.Now())
		for _, t := range due {
			go c.ask(ctx, t)
		}
		c.await(ctx, open)
	}
	return ctx.Err()
}

// await waits until a target is to be asked.
func (c *HealthChecker) await(ctx context.Context, open bool) {
	var again <-chan time.Time
	if open {
		timer := time.NewTimer(checkAgain)
		defer timer.Stop()
		again = timer.C
	}
	select {
	case <-again:
	case <-c.Broker.checkBegins:
	case <-ctx.Done():
	}
}

func (c *HealthChecker) ask(ctx context.Context, t roster.Target) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	checked.Inc()
	health, err := c.Targets.Health(ctx, t.Address, t.HealthPath)
	answered := err == nil && health.Healthy && health.Target == t.ID
	if answered {
		c.Broker.warms(t.ID, health)
	}
	_ = level.Info(c.Logger).Log("event", "target_checked", "target", t.ID, "answered", answered,
		"warm_up_ms", health.WarmUp.Milliseconds(), "err", err)
}

// Failed notes that a target did not answer a request, or broke its answer off.
func (b *Broker) Failed(id string) {
	b.change(func(now time.Time) {
		if b.allotter.core.MarkPossibleRestart(now, id) {
			b.checkup.begin(id, now.Add(b.allotter.targets[id].Warming.Lasts))
			b.wakeChecker()
		}
	})
}

// wakeChecker needs the lock.
func (b *Broker) wakeChecker() {
	select {
	case b.checkBegins <- struct{}{}:
	default:
	}
}

// checkups gives the targets to ask now, and says whether any are to be asked later.
func (b *Broker) checkups(now time.Time) (due []roster.Target, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due = b.checkup.due(now, b.allotter.targets)
	return due, len(b.checkup.open) > 0
}

// warms notes what a target said of itself.
func (b *Broker) warms(id string, health exchange.Health) {
	b.change(func(now time.Time) {
		b.allotter.core.SetWarmUpLeft(now, id, health.WarmUp)
		b.checkup.end(id)
	})
}

// FailedTarget names a target that failed.
type FailedTarget struct{ Target string }

// Failed takes over that a target failed.
func (r *Receiver) Failed(report *FailedTarget, _ *struct{}) error {
	r.broker.Failed(report.Target)
	return nil
}

// reportFailure tells the broker of a target that it failed, if it matters there: one that
// comes back may have started anew, whoever notices it first.
func (c *Client) reportFailure(choice placement.Choice, result placement.Result) {
	if choice.Warming.Rate <= 0 || !result.Failure() || !c.failedNow(choice.ID) {
		return
	}
	for _, address := range c.Brokers(choice.Domain) {
		if address == c.opts.Self.Address {
			c.opts.Broker.Failed(choice.ID)
			continue
		}
		go c.sendFailure(address, choice.ID)
	}
}

// failedNow says that the failure of a target was not reported a moment ago.
func (c *Client) failedNow(id string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.failedAt[id]) < failedAgain {
		return false
	}
	c.failedAt[id] = now
	return true
}

func (c *Client) sendFailure(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodFailed, &FailedTarget{Target: id}, &struct{}{}); err != nil {
		unanswered.Inc()
	}
}
