package journal

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/memlog"
)

// Twelve instances append batch data as fast as the platform permits, and the
// platform throttles. If renewals were throttled like data, healthy instances
// would expire each other's sessions. Their work would start again and add to
// the load.
func TestRenewalsSurviveAFloodOfData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{AppendsPerSecond: 100})
		var nodes []*node
		var sessions []protocol.SessionID
		for i := range 12 {
			nodes = append(nodes, startNode(t, log, string(rune('a'+i))))
		}
		for _, n := range nodes {
			n.waitReady()
			sessions = append(sessions, n.Session())
		}
		ctx, cancel := context.WithCancel(t.Context())
		var floods sync.WaitGroup
		for _, n := range nodes {
			for range 50 {
				floods.Go(func() {
					for ctx.Err() == nil {
						_, _ = n.AppendData(ctx, []byte("data"))
						pause(ctx, 10*time.Millisecond, nil)
					}
				})
			}
		}
		lapsed, before := 0, log.Appends()
		for range 600 {
			sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if !n.MayHold() {
					lapsed++
				}
			}
		}
		cancel()
		floods.Wait()
		t.Logf("lapsed=%d of %d checks, appends=%d in 60 s", lapsed, 600*len(nodes), log.Appends()-before)
		require.Zero(t, lapsed)
		for i, n := range nodes {
			require.Equal(t, sessions[i], n.Session())
		}
	})
}
