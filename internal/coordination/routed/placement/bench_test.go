package placement

import (
	"testing"
	"time"

	"merlintiller/internal/protocol/exchange"
)

// BenchmarkPick is the choice among the targets of one of four failure domains at the target size.
func BenchmarkPick(b *testing.B) {
	for name, maxAge := range map[string]time.Duration{"with paces": time.Second, "without": 0} {
		b.Run(name, func(b *testing.B) {
			c := newTestCore(1, 212)
			c.SetPaceMaxAge(maxAge)
			for i, id := range c.ids {
				c.ApplyLoad(start, id, exchange.Load{Slots: 8, Pace: 60 + i})
			}
			for i := range b.N {
				now := after(time.Duration(i) * time.Microsecond)
				choice, _ := c.Pick(now, Requirements{Service: "s"})
				c.Done(now, choice, Served)
			}
		})
	}
}
