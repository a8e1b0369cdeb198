package limiter

import "time"

// suspensionThreshold is the difference between the progress of the wall clock
// and of the monotonic clock from which a suspension is assumed. Slewing of the
// wall clock stays far below it in the half second between two checks.
const suspensionThreshold = 100 * time.Millisecond

// suspension detects that the machine was suspended. The monotonic clock stops
// during a suspension, so grants and promises seem younger than they are and
// would be used after their expiry. The wall clock continues. If the wall clock
// is set forward, this is also taken for a suspension, which costs the granted
// tokens at hand.
type suspension struct {
	last time.Time
}

// detected reports whether the machine was suspended since the last call.
func (s *suspension) detected(now time.Time) bool {
	last := s.last
	s.last = now
	return !last.IsZero() && clockPaused(now.Round(0).Sub(last.Round(0)), now.Sub(last))
}

// clockPaused reports whether the wall clock advanced more than the monotonic
// clock, beyond the threshold.
func clockPaused(wall, monotonic time.Duration) bool {
	return wall-monotonic > suspensionThreshold
}

// discardTimeLimited discards grants and pending handovers, which may be older
// than their timestamps indicate.
func (c *Core) discardTimeLimited() {
	for _, a := range c.accounts {
		a.grants = nil
	}
	clear(c.handovers.pending)
}
