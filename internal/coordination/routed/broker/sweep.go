package broker

import (
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// sweepDuration is how long targets are queried for their runs after an instance was
	// lost, or after this one started: as long as a batch item takes.
	sweepDuration = 8 * time.Second
	// queryInterval is the time between two queries of the same target. The reported load
	// is used for placement for at least as long.
	queryInterval = 120 * time.Millisecond
	// maxQueries bounds the number of targets that are queried at the same time. The
	// remaining targets of a large failure domain follow in the next rounds.
	maxQueries = 48
)

// sweepSchedule decides which targets are queried for their runs. It is pure and not safe for
// concurrent use.
type sweepSchedule struct {
	until time.Time
	// lastQuery is when a target was last queried since the sweep started. clean is set if
	// it had no unmatched runs at that time.
	lastQuery map[string]time.Time
	clean     map[string]bool
}

func newSweepSchedule(now time.Time) *sweepSchedule {
	s := &sweepSchedule{}
	s.start(now)
	return s
}

// start starts a sweep: each target is queried once, and again while it has runs that match no
// hold.
func (s *sweepSchedule) start(now time.Time) {
	s.until = now.Add(sweepDuration)
	s.clean = map[string]bool{}
	if s.lastQuery == nil {
		s.lastQuery = map[string]time.Time{}
	}
}

// due returns the targets to query now.
func (s *sweepSchedule) due(now time.Time, targets map[string]roster.Target) (out []roster.Target) {
	if now.After(s.until) {
		clear(s.lastQuery)
		return nil
	}
	for id, t := range targets {
		if len(out) < maxQueries && !s.clean[id] && now.Sub(s.lastQuery[id]) >= queryInterval {
			s.lastQuery[id] = now
			out = append(out, t)
		}
	}
	return out
}

// record records the unmatched runs of a target after a query.
func (s *sweepSchedule) record(target string, unmatched []TargetRun) {
	if len(unmatched) == 0 {
		s.clean[target] = true
	}
}

// startSweep starts a sweep of the targets. The caller must hold b.mu.
func (b *Broker) startSweep(now time.Time) {
	b.sweep.start(now)
	select {
	case b.sweepStarted <- struct{}{}:
	default:
	}
}

// SweepStarted returns a channel that is signalled when a sweep starts.
func (b *Broker) SweepStarted() <-chan struct{} { return b.sweepStarted }

// NeedsSweep reports whether a sweep is in progress or any hold is pinned.
func (b *Broker) NeedsSweep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.After(b.sweep.until) || b.allocator.pinned > 0
}

// Sweep returns the runs to end and the targets to query now.
func (b *Broker) Sweep(now time.Time) (orphans []Orphan, query []roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allocator.Orphans(now), b.sweep.due(now, b.allocator.targets)
}

// ApplyTargetReport applies a target's report of its load and runs. It returns the runs that
// match no hold and may therefore be orphans.
func (b *Broker) ApplyTargetReport(target string, report exchange.Report) (unmatched []TargetRun) {
	b.update(func(now time.Time) {
		b.allocator.ApplyLoad(now, target, report.Load)
		unmatched = b.allocator.UnmatchedRuns(target, report.Runs)
		b.sweep.record(target, unmatched)
	})
	return unmatched
}

// OrphanOf returns how an orphaned run can be ended.
func (b *Broker) OrphanOf(run TargetRun) (Orphan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allocator.orphan(time.Now(), run.Target, run.Run)
}

// RunEnded records that a run has ended.
func (b *Broker) RunEnded(o Orphan) {
	b.update(func(time.Time) { b.allocator.RunEnded(o.Target.ID, o.Run) })
}
