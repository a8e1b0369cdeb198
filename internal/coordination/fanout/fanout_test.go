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

// peers answers at once, or hangs for those that are named.
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

// A failure domain is cut off without a refusal: its instances do not answer at
// all. An operator must have the others' answers after one timeout and not after
// one for each that hangs, and must be told who is missing.
func TestHangingInstancesCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{count: 12, hang: map[protocol.InstanceID]bool{"i01": true, "i05": true, "i09": true}}
		begun := time.Now()
		var answers []string
		unreached := Call(t.Context(), p, Request{Method: "X.Y", Timeout: time.Second, Concurrency: 12}, func(from protocol.InstanceID, answer string) error {
			if from == "i02" {
				return errors.New("malformed")
			}
			require.Equal(t, string(from), answer)
			answers = append(answers, answer)
			return nil
		})
		require.Equal(t, time.Second, time.Since(begun))
		require.Equal(t, []protocol.InstanceID{"i01", "i02", "i05", "i09"}, unreached)
		require.Len(t, answers, 8)
	})
}

// With fewer places than instances that hang, the rest wait in turn and are
// still all asked.
func TestWidthBoundsTheCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{count: 6, hang: map[protocol.InstanceID]bool{}}
		for _, peer := range p.List() {
			p.hang[peer.Instance] = true
		}
		begun := time.Now()
		unreached := Call(t.Context(), p, Request{Timeout: time.Second, Concurrency: 2}, func(protocol.InstanceID, string) error { return nil })
		require.Len(t, unreached, 6)
		require.Equal(t, 3*time.Second, time.Since(begun))
	})
}
