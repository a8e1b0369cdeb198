package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// warming is a core of one warm target and one that warms up for three seconds. It may send
// to the latter if it decides for all.
func warming(decides bool) *Core {
	c := New(Options{Random: rand.New(rand.NewPCG(1, 2)), Warming: func() bool { return decides }})
	warm := roster.Warming{Lasts: 3 * time.Second, Rate: 5}
	cold := warm
	cold.Until = after(3 * time.Second)
	c.SetTargets([]roster.Target{
		{ID: "cold", Service: "s", Address: "10.0.0.1:1", Slots: 8, Warming: cold},
		{ID: "warm", Service: "s", Address: "10.0.0.2:1", Slots: 8, Warming: warm},
	})
	return c
}

// Guards against more requests at a target that warms up than it bears, of either kind.
func TestWarmingTargetGetsItsRate(t *testing.T) {
	for _, batch := range []bool{false, true} {
		c := warming(true)
		count := 0
		for now := start; now.Before(after(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if choice, ok := c.Pick(now, Requirements{Service: "s", Batch: batch, Exclude: []string{"warm"}}); ok {
				count++
				c.Done(now, choice, Served)
			}
		}
		require.Equal(t, 10, count)
		require.Equal(t, 16, c.Free(after(3*time.Second)), "warm by then")
	}
}

// Guards against instances that decide for themselves alone, each of which would send as many
// as the target bears from all.
func TestOnlyWhoDecidesForAllSendsToWarmingTargets(t *testing.T) {
	c := warming(false)
	for range 8 {
		require.Equal(t, "warm", pick(t, c, start, Requirements{}).ID)
	}
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok, "not even if nothing else is free")
	require.Zero(t, c.Free(start))
}

// Guards against a target that came back under its old entry and is taken for warm, and
// against one that is held back though it says that it did not start anew.
func TestFailedTargetIsHeldBackUntilItSaysHowItIs(t *testing.T) {
	c := warming(true)
	require.True(t, c.MayHaveRestarted(start, "warm"))
	require.Equal(t, 2, c.Free(start))
	c.Warms(after(10*time.Millisecond), "warm", 0)
	require.Equal(t, 9, c.Free(after(10*time.Millisecond)))
	require.False(t, c.MayHaveRestarted(start, "unknown"))
}
