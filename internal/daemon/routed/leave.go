package routed

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// leaveMargin is left of the grace for the end of the process itself, at most
	// leaveMarginShare of it.
	leaveMargin      = 1200 * time.Millisecond
	leaveMarginShare = 0.15
	// storeStep bounds a step that needs the store.
	storeStep = 500 * time.Millisecond
	// handOverStep bounds the handing over of items: others take the partitions
	// up within some hundred milliseconds and tell so.
	handOverStep = 1500 * time.Millisecond
)

// leave ends the duties towards the outside: not ready first, then the jobs to
// other instances, then the balancer's lag, then the end of the requests in
// flight. No request is cut.
func (d *Daemon) leave() {
	began := time.Now()
	d.leaving.Store(true)
	d.front.StartDraining()
	_ = level.Info(d.logger).Log("event", "leaving", "in_flight", d.front.InFlight())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.settings.Grace-d.leaveMargin()))
	defer cancel()
	d.step(ctx, storeStep, "jobs", d.keeper.Leave)
	wait(ctx, time.Until(began.Add(d.settings.DrainNotice)))
	// The balancer sends nobody any more. Callers that have connections would
	// go on sending until the end, and the last request would be cut by it; so
	// idle connections are closed now, and the others after their request.
	err := d.front.Shutdown(ctx)
	d.step(ctx, handOverStep, "items", d.runner.Shutdown)
	d.step(ctx, storeStep, "withdraw", func(ctx context.Context) {
		if err := d.withdraw(ctx); err != nil {
			_ = level.Warn(d.logger).Log("event", "withdraw_failed", "err", err)
		}
	})
	_ = level.Info(d.logger).Log("event", "left", "in_flight", d.front.InFlight(), "took_ms", time.Since(began).Milliseconds(), "err", err)
}

func (d *Daemon) leaveMargin() time.Duration {
	return min(leaveMargin, time.Duration(leaveMarginShare*float64(d.settings.Grace)))
}

func (d *Daemon) step(ctx context.Context, most time.Duration, name string, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	began := time.Now()
	run(ctx)
	_ = level.Info(d.logger).Log("event", "drained", "step", name, "took_ms", time.Since(began).Milliseconds())
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
