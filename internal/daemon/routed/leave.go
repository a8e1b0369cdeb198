package routed

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// leaveMargin is the part of the grace period that is reserved for the exit of the
	// process itself. It is at most leaveMarginShare of the grace period.
	leaveMargin      = 1200 * time.Millisecond
	leaveMarginShare = 0.15
	// storeStepTimeout limits a shutdown step that needs the store.
	storeStepTimeout = 500 * time.Millisecond
	// handOverTimeout limits the hand-over of items. Peers take over the partitions
	// within some hundred milliseconds and announce it.
	handOverTimeout = 1500 * time.Millisecond
)

// leave shuts the instance down gracefully: it reports not ready, releases the job
// partitions to other instances, waits until the balancer has reacted, and then waits for
// the requests in flight. No request is interrupted.
func (d *Daemon) leave() {
	start := time.Now()
	d.leaving.Store(true)
	d.front.StartDraining()
	_ = level.Info(d.logger).Log("event", "leaving", "in_flight", d.front.InFlight())
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(d.settings.Grace-d.leaveMargin()))
	defer cancel()
	d.runStep(ctx, storeStepTimeout, "jobs", d.partitionOwner.Leave)
	sleepContext(ctx, time.Until(start.Add(d.settings.DrainNotice)))
	// The balancer no longer sends new connections. Callers with open connections would
	// keep sending requests until the process exits, and the exit would interrupt the last
	// one. So idle connections are closed now, and the others after their request.
	err := d.front.Shutdown(ctx)
	d.runStep(ctx, handOverTimeout, "items", d.runner.Shutdown)
	d.runStep(ctx, storeStepTimeout, "withdraw", func(ctx context.Context) {
		if err := d.removeOwnEntry(ctx); err != nil {
			_ = level.Warn(d.logger).Log("event", "withdraw_failed", "err", err)
		}
	})
	_ = level.Info(d.logger).Log("event", "left", "in_flight", d.front.InFlight(), "took_ms", time.Since(start).Milliseconds(), "err", err)
}

func (d *Daemon) leaveMargin() time.Duration {
	return min(leaveMargin, time.Duration(leaveMarginShare*float64(d.settings.Grace)))
}

func (d *Daemon) runStep(ctx context.Context, timeout time.Duration, name string, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	run(ctx)
	_ = level.Info(d.logger).Log("event", "drained", "step", name, "took_ms", time.Since(start).Milliseconds())
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
