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
	// sweepEvery is how often it is looked whether there is anything to end.
	sweepEvery = 100 * time.Millisecond
	// sweepIdle is the same while there is nothing to sweep, or for another instance to do.
	sweepIdle = 500 * time.Millisecond
	// inspectTimeout bounds a question to a target, and the end of a run. One that does
	// not answer must not hold up what the others said for long.
	inspectTimeout = 150 * time.Millisecond
)

var orphansEnded = metrics.NewCounter(`broker_orphans_ended_total`)

// Sweeper ends runs at the targets of a failure domain that nobody reads, for as long as
// this instance is the domain's broker. It is a duty.
type Sweeper struct {
	// Broker knows who holds what.
	Broker *Broker
	// IsBroker says that this instance is the domain's broker.
	IsBroker func() bool
	Targets  external.Inspector
	// FilterOrphans gives those of some runs that the holders of their items say nobody reads.
	FilterOrphans func(ctx context.Context, runs []TargetRun) []TargetRun
	Logger        log.Logger
}

// TargetRun names a run at a target.
type TargetRun struct{ Target, Run string }

// String names the duty.
func (s *Sweeper) String() string { return "sweeper" }

// Serve sweeps until ctx ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := sweepIdle
		if s.Broker.Sweeping(time.Now()) && s.IsBroker() {
			s.sweep(ctx)
			pause = sweepEvery
		}
		s.await(ctx, pause)
	}
	return ctx.Err()
}

// await waits until the next look, or until a sweep begins.
func (s *Sweeper) await(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Broker.SweepBegins():
	case <-ctx.Done():
	}
}

func (s *Sweeper) sweep(ctx context.Context) {
	orphans, ask := s.Broker.Sweep(time.Now())
	for _, o := range orphans {
		go s.end(ctx, o, "instance_silent")
	}
	if len(ask) > 0 {
		go s.inspect(ctx, ask)
	}
}

// inspect asks targets what they run, and has ended what nobody reads. The holders of
// the items are asked once for all of them.
func (s *Sweeper) inspect(ctx context.Context, targets []roster.Target) {
	unexplained := make([][]TargetRun, len(targets))
	var asked sync.WaitGroup
	for i, t := range targets {
		asked.Go(func() { unexplained[i] = s.ask(ctx, t) })
	}
	asked.Wait()
	runs := slices.Concat(unexplained...)
	if len(runs) == 0 {
		return
	}
	for _, run := range s.FilterOrphans(ctx, runs) {
		if o, ok := s.Broker.OrphanOf(run); ok {
			go s.end(ctx, o, "item_elsewhere")
		}
	}
}

// ask asks a target what it runs, and gives what of it may be nobody's.
func (s *Sweeper) ask(ctx context.Context, t roster.Target) []TargetRun {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	report, err := s.Targets.Report(ctx, t.Address)
	if err != nil {
		_ = level.Info(s.Logger).Log("event", "target_not_reporting", "target", t.ID, "err", err)
		return nil
	}
	return s.Broker.Reported(t.ID, report)
}

// end ends a run.
func (s *Sweeper) end(ctx context.Context, o Orphan, reason string) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	err := s.Targets.EndRun(ctx, o.Target.Address, o.Run, o.By)
	if err == nil {
		s.Broker.Ended(o)
		orphansEnded.Inc()
	}
	_ = level.Info(s.Logger).Log("event", "orphan_ended", "run", o.Run, "target", o.Target.ID, "reason", reason, "err", err)
}
