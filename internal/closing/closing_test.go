package closing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A duty is told to stop. Closing what it has open takes a while, and only
// after that may it say that it stopped.
func TestWaitGivesBackOnlyWhenEverythingIsClosed(t *testing.T) {
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

func TestWaitDoesNotHangWhenNothingWasAsked(t *testing.T) {
	called := false
	wait := OnDone(t.Context(), func() { called = true })
	wait()
	require.False(t, called)
}
