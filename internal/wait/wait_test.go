package wait

import (
	"context"
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
