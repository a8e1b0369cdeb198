package wait

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForEndsAfterDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		require.True(t, For(t.Context(), 0))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Hour))
		require.Equal(t, 3*time.Second, time.Since(start))
		require.False(t, For(ctx, 0))
	})
}

func TestEveryCallsOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		require.ErrorIs(t, Every(ctx, time.Second, func() { calls++ }), context.DeadlineExceeded)
		require.Equal(t, 3, calls)
		require.Error(t, AtOnceAndEvery(ctx, time.Second, func() { calls++ }))
		require.Equal(t, 4, calls, "the first call is immediate, even if the context is done")
	})
}

// Guards against delays that grow on average, that exceed their bound, or that differ between
// two runs with the same seed.
func TestJitterStaysAroundDelay(t *testing.T) {
	random, same := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	least, most, sum := time.Hour, time.Duration(0), time.Duration(0)
	const draws = 10000
	for range draws {
		d := Jitter(random, time.Second)
		require.Equal(t, d, Jitter(same, time.Second))
		least, most, sum = min(least, d), max(most, d), sum+d
	}
	require.InDelta(t, 750*time.Millisecond, least, float64(time.Millisecond))
	require.InDelta(t, 1250*time.Millisecond, most, float64(time.Millisecond))
	require.InDelta(t, time.Second, sum/draws, float64(5*time.Millisecond))
}
