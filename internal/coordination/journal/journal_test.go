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
		a.waitReady()
		b.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("orders/t1", protocol.NoOffset)))
		require.Equal(t, protocol.AlreadyHeld, b.mustSubmit(leaseClaim("orders/t1", protocol.NoOffset)))
		b.View(func(s *replica.State) {
			holder, _, ok := s.Leases.Holder("orders/t1")
			require.True(t, ok)
			require.Equal(t, a.Session(), holder)
		})
	})
}

// The append takes effect and its answer is lost. If the writer retried with
// another record ID, replay would reject the claim because the instance's own
// first claim holds the lease, and no instance would do the work.
func TestLostAppendAnswerIsResolvedByReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
		a.logLink.setFault(faultOnce(memlog.LoseAnswer, hasLeaseClaim))
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("r", protocol.NoOffset)))
	})
}

// The platform rejects all appends. A caller whose record was never sent must
// be told that the record did not run. A caller whose record may be in the
// stream must not be told so.
func TestRunStateOfACancelledSubmissionIsCorrect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a := startNode(t, log, "a")
		a.waitReady()
		a.logLink.setFault(func(operation, _ string, _ []byte) memlog.Fault {
			if operation == "append" {
				return memlog.Throttle
			}
			return memlog.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		throttled := a.Submit(ctx, leaseClaim("r", protocol.NoOffset))
		require.Equal(t, protocol.NotRun, throttled.Run)

		a.logLink.setFault(appendsDown)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		uncertain := a.Submit(ctx, leaseClaim("r", protocol.NoOffset))
		require.Equal(t, protocol.MayHaveRun, uncertain.Run)
	})
}
