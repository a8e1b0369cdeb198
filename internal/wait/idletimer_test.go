package wait

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleTimerExpiresOnceIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired atomic.Int64
		timer := NewIdleTimer(time.Second, func() { expired.Add(1) })
		defer timer.Stop()
		time.Sleep(900 * time.Millisecond)
		timer.Reset(time.Second)
		time.Sleep(900 * time.Millisecond)
		require.Zero(t, expired.Load())
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, int64(1), expired.Load())
	})
}

// Guards against a process that was paused and closes a connection before it has read what had arrived there.
func TestIdleTimerGivesTimeToReadAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewIdleTimer(time.Second, func() {})
		defer timer.Stop()
		resumed := time.Now().Add(4 * time.Second)
		require.False(t, timer.isIdle(resumed))
		require.False(t, timer.isIdle(resumed.Add(readGrace/2)))
		require.True(t, timer.isIdle(resumed.Add(readGrace)))
	})
}
