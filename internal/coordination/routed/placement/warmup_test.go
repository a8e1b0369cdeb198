package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// newWarmingCore returns a core of one warm target and one that warms up for three seconds.
// soleBroker is whether it may send requests to the latter.
func newWarmingCore(soleBroker bool) *Core {
	c := New(Options{Random: rand.New(rand.NewPCG(1, 2)), AllowWarmingUp: func() bool { return soleBroker }})
	warm := roster.Warming{Lasts: 3 * time.Second, Rate: 5}
	cold := warm
	cold.Until = after(3 * time.Second)
	c.SetTargets([]roster.Target{
		{ID: "cold", Service: "s", Address: "10.0.0.1:1", Slots: 8, Warming: cold},
		{ID: "warm", Service: "s", Address: "10.0.0.2:1", Slots: 8, Warming: warm},
	})
	return c
}

// Guards against sending more online requests or batch items to a target that warms up than
// its rate permits.
func TestWarmingTargetStartsAreRateLimited(t *testing.T) {
	for _, batch := range []bool{false, true} {
		c := newWarmingCore(true)
		count := 0
		for now := start; now.Before(after(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if choice, ok := c.Pick(now, Requirements{Service: "s", Batch: batch, Exclude: []string{"warm"}}); ok {
				count++
				c.Done(now, choice, Served)
			}
		}
		require.Equal(t, 10, count)
		require.Equal(t, 16, c.Free(after(3*time.Second)), "the target is warm after three seconds")
	}
}

// Guards against instances that each send requests to a warming target at the full rate that
// it can handle from all instances together.
func TestOnlySoleBrokerSendsToWarmingTargets(t *testing.T) {
	c := newWarmingCore(false)
	for range 8 {
		require.Equal(t, "warm", pick(t, c, start, Requirements{}).ID)
	}
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok, "not even if no other slot is free")
	require.Zero(t, c.Free(start))
}

// Guards against a target that restarted without a new list entry and counts as warm, and
// against rate-limiting a target after its health check reported that it did not restart.
func TestFailedTargetCountsAsWarmingUntilHealthCheck(t *testing.T) {
	c := newWarmingCore(true)
	require.True(t, c.MarkPossibleRestart(start, "warm"))
	require.Equal(t, 2, c.Free(start))
	c.SetWarmUpLeft(after(10*time.Millisecond), "warm", 0)
	require.Equal(t, 9, c.Free(after(10*time.Millisecond)))
	require.False(t, c.MarkPossibleRestart(start, "unknown"))
}
