package limiter

import "time"

// suspensionSlack is the difference between wall and monotonic clock that one
// look may find without a suspension. Adjusting the wall clock by slewing stays
// far below it within the half second between two looks.
const suspensionSlack = 100 * time.Millisecond

// suspension notices that the machine was suspended: the monotonic clock stood
// still, so tokens and promises seem younger than they are and would be used
// after their end. The wall clock shows it. A wall clock that was set forward
// looks the same, which costs the tokens at hand.
type suspension struct {
	last time.Time
}

// passed reports whether there was a suspension since the last call.
func (s *suspension) passed(now time.Time) bool {
	last := s.last
	s.last = now
	return !last.IsZero() && stoodStill(now.Round(0).Sub(last.Round(0)), now.Sub(last))
}

// stoodStill compares what the two clocks say has passed.
func stoodStill(wall, monotonic time.Duration) bool {
	return wall-monotonic > suspensionSlack
}

// forgetPerishable drops what may be older than it seems.
func (c *Core) forgetPerishable() {
	for _, a := range c.accounts {
		a.grants = nil
	}
	clear(c.handovers.waiting)
}
