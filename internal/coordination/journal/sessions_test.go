package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
	"merlintiller/internal/state/replica"
)

func openSessions(n *node) int {
	count := 0
	n.View(func(s *replica.State) { count = len(s.Sessions.All()) })
	return count
}

// An instance is killed and does not close its session. What it held stays held
// until another instance detects its silence and expires the session.
func TestDeadInstanceIsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a, b, c := startNode(t, log, "a"), startNode(t, log, "b"), startNode(t, log, "c")
		a.waitReady()
		b.waitReady()
		c.waitReady()
		require.Equal(t, protocol.Accepted, a.mustSubmit(leaseClaim("r", protocol.NoOffset)))
		a.kill()
		took := await(t, 15*time.Second, "expiry", func() bool { return openSessions(b) == 2 })
		require.Greater(t, took, 6*time.Second, "the lease was free while its holder might still use it")
		var replaces protocol.Offset
		b.View(func(s *replica.State) {
			last, _ := s.Leases.Last("r")
			replaces = last.Fence
		})
		require.Equal(t, protocol.Accepted, b.mustSubmit(leaseClaim("r", replaces)))
	})
}

// The log is down for a minute, and no instance can renew its session. If the
// instances counted that time as silence, they would expire each other's
// sessions when the log is up again, and all batch work would start again.
func TestLogOutageExpiresNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []memlog.FaultFunc{allDown, appendsDown} {
			log := memlog.New(memlog.Options{})
			nodes := []*node{startNode(t, log, "a"), startNode(t, log, "b"), startNode(t, log, "c")}
			var before []protocol.SessionID
			for _, n := range nodes {
				n.waitReady()
				before = append(before, n.Session())
			}
			log.SetFault(fault)
			sleep(time.Minute)
			for _, n := range nodes {
				require.False(t, n.MayHold(), "instance may hold leases without a confirmed renewal")
			}
			log.SetFault(nil)
			sleep(30 * time.Second)
			for i, n := range nodes {
				require.Equal(t, before[i], n.Session())
				require.True(t, n.MayHold())
				n.kill()
			}
		}
	})
}

// One instance is isolated from the log while the others reach it. It must stop
// exclusive work before another instance takes over, and must work under a new
// session once it reaches the log again.
func TestInstanceIsolatedFromTheLogStopsBeforeTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		old := a.Session()
		a.logLink.setFault(allDown)
		await(t, 20*time.Second, "expiry", func() bool { return openSessions(b) == 1 })
		require.False(t, a.MayHold())
		a.logLink.setFault(nil)
		await(t, 10*time.Second, "a new session", func() bool { return a.Session() != old && a.MayHold() })
		require.Equal(t, 2, openSessions(b))
	})
}
