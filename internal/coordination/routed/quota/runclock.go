package quota

import "time"

// runClock tells for how long this process did not run, from ticks that come late.
//
// When a paused process goes on, requests that waited are decided before the reports of the
// other instances are read. If the pause counted as their silence, the instance would take
// itself for isolated and refuse requests within the rate.
type runClock struct {
	// tickedAt is the time of the last tick, period the time from it to the next one.
	tickedAt time.Time
	period   time.Duration
	// stalled is the time until tickedAt for which the process did not run.
	stalled time.Duration
}

// tick records that the process runs, and when it will tick next.
func (c *runClock) tick(now time.Time, period time.Duration) {
	c.stalled = c.stalledUntil(now)
	c.tickedAt, c.period = now, period
}

// stalledUntil returns the time until now for which the process did not run. A tick that is
// late by less than a period is not a stall.
func (c *runClock) stalledUntil(now time.Time) time.Duration {
	late := now.Sub(c.tickedAt) - c.period
	if c.tickedAt.IsZero() || late < c.period {
		return c.stalled
	}
	return c.stalled + late
}
