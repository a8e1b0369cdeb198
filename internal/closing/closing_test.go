package closing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Closing the connections of a stopping service takes one second. The service must
// not report that it has stopped before they are closed.
func TestWaitReturnsAfterEverythingIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		closed := false
		wait := OnDone(ctx, func() {
			<-time.After(time.Second)
			closed = true
		})
		cancel()
		wait()
		require.True(t, closed)
	})
}

func TestWaitReturnsIfContextIsNotDone(t *testing.T) {
	called := false
	wait := OnDone(t.Context(), func() { called = true })
	wait()
	require.False(t, called)
}
