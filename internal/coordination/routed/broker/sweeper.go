package broker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

const (
	// sweepInterval is how often the sweeper checks for runs to end.
	sweepInterval = 100 * time.Millisecond
	// idleInterval is the same while there is nothing to sweep, or another instance is the
	// broker.
	idleInterval = 500 * time.Millisecond
	// inspectTimeout bounds a query of a target, and a call that ends a run. A target that
	// does not answer must not delay the results of the others for long.
	inspectTimeout = 150 * time.Millisecond
)

var orphansEnded = metrics.NewCounter(`broker_orphans_ended_total`)

// Sweeper ends orphaned runs at the targets of a failure domain for as long as this instance
// is the domain's broker. It is a background service.
type Sweeper struct {
	// Broker knows the holds of all instances.
	Broker *Broker
	// IsBroker reports whether this instance is the domain's broker.
	IsBroker func() bool
	Targets  external.Inspector
	// FilterOrphans returns those of the given runs whose output no instance reads, as
	// reported by the owners of their items.
	FilterOrphans func(ctx context.Context, runs []TargetRun) []TargetRun
	Logger        log.Logger
}

// TargetRun identifies a run at a target.
type TargetRun struct{ Target, Run string }

// String returns the name of the background service.
func (s *Sweeper) String() string { return "sweeper" }

// Serve sweeps until ctx ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idleInterval
		if s.Broker.NeedsSweep(time.Now()) && s.IsBroker() {
			s.sweep(ctx)
			pause = sweepInterval
		}
		s.await(ctx, pause)
	}
	return ctx.Err()
}

// await waits for the given time, or until a sweep starts.
func (s *Sweeper) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Broker.SweepStarted():
	case <-ctx.Done():
	}
}

func (s *Sweeper) sweep(ctx context.Context) {
	orphans, query := s.Broker.Sweep(time.Now())
	for _, o := range orphans {
		go s.endRun(ctx, o, "instance_silent")
	}
	if len(query) > 0 {
		go s.inspect(ctx, query)
	}
}

// inspect queries targets for their runs and ends the orphaned ones. The owners of the items
// are asked once for the runs of all targets.
func (s *Sweeper) inspect(ctx context.Context, targets []roster.Target) {
	unmatched := make([][]TargetRun, len(targets))
	var queries sync.WaitGroup
	for i, t := range targets {
		queries.Go(func() { unmatched[i] = s.query(ctx, t) })
	}
	queries.Wait()
	runs := slices.Concat(unmatched...)
	if len(runs) == 0 {
		return
	}
	for _, run := range s.FilterOrphans(ctx, runs) {
		if o, ok := s.Broker.OrphanOf(run); ok {
			go s.endRun(ctx, o, "item_elsewhere")
		}
	}
}

// query asks a target for its runs and returns those that match no hold.
func (s *Sweeper) query(ctx context.Context, t roster.Target) []TargetRun {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	report, err := s.Targets.Report(ctx, t.Address)
	if err != nil {
		_ = level.Info(s.Logger).Log("event", "target_not_reporting", "target", t.ID, "err", err)
		return nil
	}
	return s.Broker.ApplyTargetReport(t.ID, report)
}

// endRun ends an orphaned run at its target.
func (s *Sweeper) endRun(ctx context.Context, o Orphan, reason string) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	err := s.Targets.EndRun(ctx, o.Target.Address, o.Run, o.EvacuateTo)
	if err == nil {
		s.Broker.RunEnded(o)
		orphansEnded.Inc()
	}
	_ = level.Info(s.Logger).Log("event", "orphan_ended", "run", o.Run, "target", o.Target.ID, "reason", reason, "err", err)
}
