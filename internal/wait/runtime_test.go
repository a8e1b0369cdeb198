package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunTimeLimitEndsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, limit := WithRunTimeLimit(t.Context(), 20*time.Millisecond)
		<-ctx.Done()
		require.Equal(t, 20*time.Millisecond, time.Since(start))
		remaining, stalled := limit.Stop()
		require.Zero(t, remaining)
		require.Zero(t, stalled)
	})
}

func TestRunTimeLimitStopsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, limit := WithRunTimeLimit(t.Context(), 20*time.Millisecond)
		time.Sleep(7 * time.Millisecond)
		require.NoError(t, ctx.Err())
		remaining, stalled := limit.Stop()
		require.Equal(t, 13*time.Millisecond, remaining)
		require.Zero(t, stalled)
		require.ErrorIs(t, ctx.Err(), context.Canceled)
	})
}

// Guards against a pause of this process that counts as silence of the other side.
func TestRunTimeLimitDoesNotCountStalls(t *testing.T) {
	now, ended := time.Unix(0, 0), 0
	limit := newRunTimeLimit(16*time.Millisecond, func() { ended++ }, func() time.Time { return now })
	limit.timer = time.NewTimer(time.Hour)
	now = now.Add(100 * time.Millisecond)
	limit.check()
	require.Zero(t, ended, "98 of the 100 ms are a stall")
	for range 6 {
		now = now.Add(2 * time.Millisecond)
		limit.check()
	}
	require.Zero(t, ended)
	now = now.Add(2 * time.Millisecond)
	limit.check()
	require.Equal(t, 1, ended)
	remaining, stalled := limit.Stop()
	require.Zero(t, remaining)
	require.Equal(t, 98*time.Millisecond, stalled)
}
