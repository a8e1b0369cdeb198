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

// Twelve instances store batch data as fast as the platform lets them, and it
// throttles. If renewals lost against the data, healthy instances would expire
// each other, their work would start over, and the load would grow by it.
func TestRenewalsSurviveAFloodOfData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(memlog.Options{AppendsPerSecond: 100})
		var nodes []*node
		var sessions []protocol.SessionID
		for i := range 12 {
			nodes = append(nodes, startNode(t, log, string(rune('a'+i))))
		}
		for _, n := range nodes {
			n.ready()
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
			pass(100 * time.Millisecond)
			for _, n := range nodes {
				if !n.MayHold() {
					lapsed++
				}
			}
		}
		cancel()
		floods.Wait()
		t.Logf("lapsed=%d of %d looks, appends=%d in 60 s", lapsed, 600*len(nodes), log.Appends()-before)
		require.Zero(t, lapsed)
		for i, n := range nodes {
			require.Equal(t, sessions[i], n.Session())
		}
	})
}
