package fanout

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// peers answers calls without delay, except for the instances in hang, where calls
// block until the context is done.
type peers struct {
	count int
	hang  map[protocol.InstanceID]bool
}

func (p *peers) List() []coordination.Peer {
	var list []coordination.Peer
	for i := range p.count {
		list = append(list, coordination.Peer{Instance: protocol.InstanceID(fmt.Sprintf("i%02d", i))})
	}
	return list
}

func (p *peers) Call(ctx context.Context, to protocol.InstanceID, _ string, _, reply any) error {
	if p.hang[to] {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*string) = string(to)
	return nil
}

// Packets to a failure domain are dropped, so calls to its instances hang until they
// time out. An operator must get the replies of the other instances after one
// timeout, not one per hanging instance, together with the list of instances that
// did not answer.
func TestHangingInstancesCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{count: 12, hang: map[protocol.InstanceID]bool{"i01": true, "i05": true, "i09": true}}
		start := time.Now()
		var replies []string
		unreached := Call(t.Context(), p, Request{Method: "X.Y", Timeout: time.Second, Concurrency: 12}, func(from protocol.InstanceID, reply string) error {
			if from == "i02" {
				return errors.New("malformed")
			}
			require.Equal(t, string(from), reply)
			replies = append(replies, reply)
			return nil
		})
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, []protocol.InstanceID{"i01", "i02", "i05", "i09"}, unreached)
		require.Len(t, replies, 8)
	})
}

// With fewer concurrent calls than hanging instances, the remaining calls wait until
// earlier ones end. Every instance must still be called.
func TestConcurrencyLimitsTheCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{count: 6, hang: map[protocol.InstanceID]bool{}}
		for _, peer := range p.List() {
			p.hang[peer.Instance] = true
		}
		start := time.Now()
		unreached := Call(t.Context(), p, Request{Timeout: time.Second, Concurrency: 2}, func(protocol.InstanceID, string) error { return nil })
		require.Len(t, unreached, 6)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}
