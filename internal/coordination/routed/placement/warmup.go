package placement

import (
	"time"

	"merlintiller/internal/state/roster"
)

// warmUp limits the rate of new requests at a target that recently started.
//
// A target comes back with all its slots free, so each instance would send to it first.
// While it warms up, it can handle only a few new requests a second from all instances
// together, and crashes well above that rate.
type warmUp struct {
	// until is when the warm-up ends. lastListed is the end that the list of targets gave
	// last.
	until, lastListed time.Time
	// nextStart is when the next request may start.
	nextStart time.Time
}

// apply applies the warm-up state from the list of targets.
func (w *warmUp) apply(entry roster.Warming) {
	if entry.Until.Equal(w.lastListed) {
		return
	}
	w.lastListed = entry.Until
	if entry.Until.After(w.until) {
		w.until = entry.Until
	}
}

// warmingUp reports whether the rate of new requests at the target is limited now.
func (t *target) warmingUp(now time.Time) bool {
	return t.Warming.Rate > 0 && now.Before(t.warmUp.until)
}

// mayStart reports whether the target's warm-up permits a new request now.
func (c *Core) mayStart(now time.Time, t *target) bool {
	if !t.warmingUp(now) {
		return true
	}
	return c.opts.AllowWarmingUp != nil && c.opts.AllowWarmingUp() && !now.Before(t.warmUp.nextStart)
}

// started records that a request starts at the target.
func (t *target) started(now time.Time) {
	if t.warmingUp(now) {
		t.warmUp.nextStart = now.Add(time.Duration(float64(time.Second) / t.Warming.Rate))
	}
}

// free returns the number of free slots in which requests may start now.
func (c *Core) free(now time.Time, t *target) int {
	free := max(0, t.slots-t.busy(now))
	switch {
	case !c.mayStart(now, t):
		return 0
	case t.warmingUp(now):
		return min(1, free)
	default:
		return free
	}
}

// MarkPossibleRestart records that a target failed. The target may have restarted, in which
// case it warms up when it answers again. It returns false if the target needs no warm-up.
func (c *Core) MarkPossibleRestart(now time.Time, id string) bool {
	t := c.targets[id]
	if t == nil || t.Warming.Rate <= 0 || t.Warming.Lasts <= 0 {
		return false
	}
	t.warmUp.until = now.Add(t.Warming.Lasts)
	return true
}

// SetWarmUpLeft sets the remaining warm-up time that a target reported.
func (c *Core) SetWarmUpLeft(now time.Time, id string, left time.Duration) {
	if t := c.targets[id]; t != nil {
		t.warmUp.until = now.Add(left)
	}
}
