package broker

import (
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// sweepFor is how long targets are asked what they run after an instance was
	// lost, or after this one started: as long as a batch item takes.
	sweepFor = 8 * time.Second
	// askAgain is the time between two questions to the same target. What it says
	// counts for placing as long.
	askAgain = 120 * time.Millisecond
	// mostAsked bounds the targets that are asked at once. In a large failure domain the
	// others come with the next looks.
	mostAsked = 48
)

// sweep decides which targets are asked what they run. It is pure and not safe for
// concurrent use.
type sweep struct {
	until time.Time
	// asked is when a target was asked last since the sweep began, clean that it had
	// nothing unexplained then.
	asked map[string]time.Time
	clean map[string]bool
}

func newSweep(now time.Time) *sweep {
	s := &sweep{}
	s.begin(now)
	return s
}

// begin has all targets asked once more, and those again that run what nobody
// tells of.
func (s *sweep) begin(now time.Time) {
	s.until = now.Add(sweepFor)
	s.clean = map[string]bool{}
	if s.asked == nil {
		s.asked = map[string]time.Time{}
	}
}

// due gives the targets to ask now.
func (s *sweep) due(now time.Time, targets map[string]roster.Target) (out []roster.Target) {
	if now.After(s.until) {
		clear(s.asked)
		return nil
	}
	for id, t := range targets {
		if len(out) < mostAsked && !s.clean[id] && now.Sub(s.asked[id]) >= askAgain {
			s.asked[id] = now
			out = append(out, t)
		}
	}
	return out
}

// told notes what a target's answer came to.
func (s *sweep) told(target string, unexplained []TargetRun) {
	if len(unexplained) == 0 {
		s.clean[target] = true
	}
}

// beginSweep has the targets asked what they run. It needs the lock.
func (b *Broker) beginSweep(now time.Time) {
	b.sweep.begin(now)
	select {
	case b.sweepBegins <- struct{}{}:
	default:
	}
}

// SweepBegins has something in it once a sweep begins.
func (b *Broker) SweepBegins() <-chan struct{} { return b.sweepBegins }

// Sweeping says that there may be something to sweep.
func (b *Broker) Sweeping(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.After(b.sweep.until) || b.allotter.stuck > 0
}

// Sweep gives the runs to end and the targets to ask now.
func (b *Broker) Sweep(now time.Time) (orphans []Orphan, ask []roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allotter.Orphans(now), b.sweep.due(now, b.allotter.targets)
}

// Reported takes in what a target says that it runs, and gives what of it may be
// nobody's.
func (b *Broker) Reported(target string, report exchange.Report) (unexplained []TargetRun) {
	b.change(func(now time.Time) {
		b.allotter.Loaded(now, target, report.Load)
		unexplained = b.allotter.Unexplained(target, report.Runs)
		b.sweep.told(target, unexplained)
	})
	return unexplained
}

// OrphanOf says how a run that nobody reads is ended.
func (b *Broker) OrphanOf(run TargetRun) (Orphan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allotter.orphan(time.Now(), run.Target, run.Run)
}

// Ended notes that a run has ended.
func (b *Broker) Ended(o Orphan) {
	b.change(func(time.Time) { b.allotter.Ended(o.Target.ID, o.Run) })
}
