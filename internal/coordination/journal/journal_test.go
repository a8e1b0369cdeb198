package journal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

var _ coordination.Journal = (*Journal)(nil)

func TestInstancesAgreeOnWhoHoldsALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{AppendsPerSecond: 300})
		a, b := startNode(t, log, "a"), startNode(t, log, "b")
		a.ready()
		b.ready()
		require.Equal(t, protocol.Accepted, a.put(claim("orders/t1", protocol.NoOffset)))
		require.Equal(t, protocol.AlreadyHeld, b.put(claim("orders/t1", protocol.NoOffset)))
		b.View(func(s *replica.State) {
			holder, _, ok := s.Leases.Holder("orders/t1")
			require.True(t, ok)
			require.Equal(t, a.Session(), holder)
		})
	})
}

// The append takes effect and its answer is lost. Retried under another id, it
// would be refused as held by somebody, the instance's own lease, and nobody
// would do the work.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		a.link.set(once(memlog.LoseAnswer, isClaim))
		require.Equal(t, protocol.Accepted, a.put(claim("r", protocol.NoOffset)))
	})
}

// The platform refuses everything for a while. A caller whose record was never
// sent is told that it did not run, and one whose record may stand in the
// stream is not told so.
func TestRunStateOfAGivenUpRecordIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.ready()
		a.link.set(func(operation, _ string, _ []byte) memlog.Fault {
			if operation == "append" {
				return memlog.Throttle
			}
			return memlog.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		throttled := a.Submit(ctx, claim("r", protocol.NoOffset))
		require.Equal(t, protocol.NotRun, throttled.Run)

		a.link.set(appendsDown)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		uncertain := a.Submit(ctx, claim("r", protocol.NoOffset))
		require.Equal(t, protocol.MayHaveRun, uncertain.Run)
	})
}
