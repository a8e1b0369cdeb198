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
	// checkTimeout bounds one health check of a target.
	checkTimeout = 150 * time.Millisecond
	// failureReportInterval is the minimum time between two reports by an instance that the
	// same target failed.
	failureReportInterval = 100 * time.Millisecond
)

var healthChecks = metrics.NewCounter(`target_checks_total`)

// HealthChecker runs health checks of targets that may have restarted. It is a background
// service.
type HealthChecker struct {
	Broker  *Broker
	Targets external.HealthChecker
	Logger  log.Logger
}

// String returns the name of the background service.
func (c *HealthChecker) String() string { return "checker" }

// Serve runs health checks until ctx ends.
func (c *HealthChecker) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		due, pending := c.Broker.dueChecks(time.Now())
		for _, t := range due {
			go c.check(ctx, t)
		}
		c.await(ctx, pending)
	}
	return ctx.Err()
}

// await waits until a target needs a health check. pending is whether any target is still to
// be checked again.
func (c *HealthChecker) await(ctx context.Context, pending bool) {
	var retry <-chan time.Time
	if pending {
		timer := time.NewTimer(checkInterval)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-retry:
	case <-c.Broker.checkAdded:
	case <-ctx.Done():
	}
}

func (c *HealthChecker) check(ctx context.Context, t roster.Target) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	healthChecks.Inc()
	health, err := c.Targets.Health(ctx, t.Address, t.HealthPath)
	answered := err == nil && health.Healthy && health.Target == t.ID
	if answered {
		c.Broker.applyHealth(t.ID, health)
	}
	_ = level.Info(c.Logger).Log("event", "target_checked", "target", t.ID, "answered", answered,
		"warm_up_ms", health.WarmUp.Milliseconds(), "err", err)
}

// TargetFailed records that a target did not answer a request, or not completely.
func (b *Broker) TargetFailed(id string) {
	b.update(func(now time.Time) {
		if b.allocator.core.MarkPossibleRestart(now, id) {
			b.checks.add(id, now.Add(b.allocator.targets[id].Warming.Lasts))
			b.wakeChecker()
		}
	})
}

// wakeChecker wakes the health checker. The caller must hold b.mu.
func (b *Broker) wakeChecker() {
	select {
	case b.checkAdded <- struct{}{}:
	default:
	}
}

// dueChecks returns the targets to check now, and whether any are pending after that.
func (b *Broker) dueChecks(now time.Time) (due []roster.Target, pending bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due = b.checks.due(now, b.allocator.targets)
	return due, len(b.checks.pending) > 0
}

// applyHealth applies the result of a health check.
func (b *Broker) applyHealth(id string, health exchange.Health) {
	b.update(func(now time.Time) {
		b.allocator.core.SetWarmUpLeft(now, id, health.WarmUp)
		b.checks.remove(id)
	})
}

// FailedTarget reports that a target failed.
type FailedTarget struct{ Target string }

// Failed applies a report that a target failed.
func (r *Receiver) Failed(report *FailedTarget, _ *struct{}) error {
	r.broker.TargetFailed(report.Target)
	return nil
}

// reportFailure reports a failure to the brokers of the target's domain if the target needs a
// warm-up: after a failure it may have restarted, and any instance may be the first to notice.
func (c *Client) reportFailure(choice placement.Choice, result placement.Result) {
	if choice.Warming.Rate <= 0 || !result.Failure() || !c.shouldReportFailure(choice.ID) {
		return
	}
	for _, address := range c.Brokers(choice.Domain) {
		if address == c.opts.Self.Address {
			c.opts.Broker.TargetFailed(choice.ID)
			continue
		}
		go c.sendFailure(address, choice.ID)
	}
}

// shouldReportFailure reports whether the last failure report for a target is older than
// failureReportInterval, and records a new one if so.
func (c *Client) shouldReportFailure(id string) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.failureReportedAt[id]) < failureReportInterval {
		return false
	}
	c.failureReportedAt[id] = now
	return true
}

func (c *Client) sendFailure(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if err := c.opts.Caller.Call(ctx, address, methodFailed, &FailedTarget{Target: id}, &struct{}{}); err != nil {
		failedCalls.Inc()
	}
}
