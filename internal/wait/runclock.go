package wait

import "time"

// RunClock tells for how long this process did not run, from ticks that come late. It is not safe
// for concurrent use.
//
// When a paused process goes on, it decides before it has read what others sent meanwhile. If the
// pause counted as their silence, it would take itself for isolated.
type RunClock struct {
	// tickedAt is the time of the last tick, period the time from it to the next one.
	tickedAt time.Time
	period   time.Duration
	// stalled is the time until tickedAt for which the process did not run. resumedAt is when it last went on.
	stalled   time.Duration
	resumedAt time.Time
}

// Tick records that the process runs, and when it will tick next.
func (c *RunClock) Tick(now time.Time, period time.Duration) {
	c.stalled, c.resumedAt = c.StalledUntil(now), c.ResumedAt(now)
	c.tickedAt, c.period = now, period
}

// ResumedAt returns when the process last went on after it had not run for a time, as far as is known at a time. It is
// zero if there was no stall.
func (c *RunClock) ResumedAt(now time.Time) time.Time {
	if c.StalledUntil(now) > c.stalled {
		return now
	}
	return c.resumedAt
}

// StalledUntil returns the time until now for which the process did not run. A tick that is
// late by less than a period is not a stall.
func (c *RunClock) StalledUntil(now time.Time) time.Duration {
	late := now.Sub(c.tickedAt) - c.period
	if c.tickedAt.IsZero() || late < c.period {
		return c.stalled
	}
	return c.stalled + late
}
