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

// An instance is killed. Nobody says farewell for it, so what it held stays
// taken until another instance notices the silence and expires its session.
func TestDeadInstanceIsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{})
		a, b, c := startNode(t, log, "a"), startNode(t, log, "b"), startNode(t, log, "c")
		a.ready()
		b.ready()
		c.ready()
		require.Equal(t, protocol.Accepted, a.put(claim("r", protocol.NoOffset)))
		a.kill()
		took := await(t, 15*time.Second, "expiry", func() bool { return openSessions(b) == 2 })
		require.Greater(t, took, 6*time.Second, "taken over while the holder might still work")
		var replaces protocol.Offset
		b.View(func(s *replica.State) {
			last, _ := s.Leases.Last("r")
			replaces = last.Fence
		})
		require.Equal(t, protocol.Accepted, b.put(claim("r", replaces)))
	})
}

// The platform's log is down for a minute. Nobody can renew. If the instances
// counted that time as silence, they would expire each other on its return and
// all batch work would start over.
func TestOutageOfTheWholeLogExpiresNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fault := range []memlog.FaultFunc{down, appendsDown} {
			log := memlog.New(memlog.Options{})
			nodes := []*node{startNode(t, log, "a"), startNode(t, log, "b"), startNode(t, log, "c")}
			var before []protocol.SessionID
			for _, n := range nodes {
				n.ready()
				before = append(before, n.Session())
			}
			log.SetFault(fault)
			pass(time.Minute)
			for _, n := range nodes {
				require.False(t, n.MayHold(), "exclusive work goes on without a confirmed renewal")
			}
			log.SetFault(nil)
			pass(30 * time.Second)
			for i, n := range nodes {
				require.Equal(t, before[i], n.Session())
				require.True(t, n.MayHold())
				n.kill()
			}
		}
	})
}

// One instance loses its way to the log while the others keep theirs. It must
// stop exclusive work before they give it to another, and when its way is back
// it must work under a new session.
func TestInstanceCutFromTheLogStopsBeforeItIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := startTwo(t)
		old := a.Session()
		a.link.set(down)
		await(t, 20*time.Second, "expiry", func() bool { return openSessions(b) == 1 })
		require.False(t, a.MayHold())
		a.link.set(nil)
		await(t, 10*time.Second, "a new session", func() bool { return a.Session() != old && a.MayHold() })
		require.Equal(t, 2, openSessions(b))
	})
}
