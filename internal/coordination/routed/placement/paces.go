package placement

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/pace"
)

// movedPlacements counts the requests for which another target was chosen than without the paces.
var movedPlacements = metrics.NewCounter("placements_moved_by_pace_total")

// SetPaceMaxAge sets Options.PaceMaxAge. What is known about paces is discarded.
func (c *Core) SetPaceMaxAge(maxAge time.Duration) {
	c.opts.PaceMaxAge = maxAge
	c.paces = pace.New(maxAge)
}

// usesPace reports whether the targets of a service are ranked with their paces.
func (c *Core) usesPace(service string) bool { return c.paces.On() && c.reportsPace[service] }

// Pace returns the estimated pace of a target. It is zero if targets of its service are ranked
// without their paces.
func (c *Core) Pace(now time.Time, id string) pace.Estimate {
	t := c.targets[id]
	if t == nil || !c.usesPace(t.Service) {
		return pace.Estimate{}
	}
	return c.paces.Pace(now, t.Service, id)
}

// Observe records a time that this instance observed at a target whose service reports paces. It
// returns the target's pace if it has just been estimated anew from recent times, otherwise 0.
func (c *Core) Observe(now time.Time, id string, kind pace.Kind, took time.Duration) float64 {
	if t := c.targets[id]; t != nil && c.usesPace(t.Service) {
		return c.paces.Observe(now, t.Service, id, kind, took)
	}
	return 0
}

// PaceObservations returns what is known about the paces of a failure domain's targets, at most
// pace.MaxObservations of them.
func (c *Core) PaceObservations(now time.Time, domain string) []pace.Observation {
	return c.paces.Observations(now, func(id string) bool {
		t := c.targets[id]
		return t != nil && t.listed && t.Domain == domain
	})
}

// MergePace adds what another instance observed at a target.
func (c *Core) MergePace(now time.Time, o pace.Observation) {
	t := c.targets[o.Target]
	if t == nil {
		return
	}
	if o.Percent > 0 {
		c.reportsPace[t.Service] = true
	}
	c.paces.Merge(now, t.Service, o)
}

// TargetsWithPace returns the number of targets with a report that is used.
func (c *Core) TargetsWithPace(now time.Time) int { return c.paces.Reported(now) }

// SetPaceMaxAge sets Options.PaceMaxAge.
func (p *Placer) SetPaceMaxAge(maxAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPaceMaxAge(maxAge)
}

// UsesPaces reports whether targets are ranked with the paces that they report.
func (p *Placer) UsesPaces() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.paces.On()
}

// Observe records a time that this instance observed at a target. It returns the target's pace if
// it has just been estimated anew from recent times, otherwise 0.
func (p *Placer) Observe(id string, kind pace.Kind, took time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Observe(time.Now(), id, kind, took)
}

// PaceObservations returns what is known about the paces of a failure domain's targets.
func (p *Placer) PaceObservations(domain string) []pace.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.PaceObservations(time.Now(), domain)
}

// targetsWithPace returns the number of targets with a report that is used.
func (p *Placer) targetsWithPace() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.TargetsWithPace(time.Now())
}
