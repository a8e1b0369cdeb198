package mesh

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

// silentPeers do not answer. They record which addresses were asked for a snapshot, and when.
type silentPeers struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

func (p *silentPeers) Call(ctx context.Context, address, method string, _, _ any) error {
	if method == methodSnapshot {
		p.mu.Lock()
		p.asked[address] = time.Now()
		p.mu.Unlock()
	}
	<-ctx.Done()
	return ctx.Err()
}

// staleList is a delegate that has not read the list of targets for long.
type staleList struct{ fakeDelegate }

func (*staleList) Versions() Versions { return Versions{RosterMark: 1, ListAge: time.Minute} }

// Guards against an old list of targets because the instance that was asked for the newer one stopped answering: the next
// one has to be asked well before the call ends, since a leaving target may get requests for 2 s only.
func TestListIsFetchedFromAnotherPeerIfOneDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &silentPeers{asked: map[string]time.Time{}}
		m := New(Config{Self: instance("a", 0), Caller: peers, Logger: log.NewNopLogger()})
		m.SetDelegate(&staleList{fakeDelegate{admitted: quota.Counts{}, received: map[string]quota.Counts{}}})
		began := time.Now()
		for seq := range uint64(10) {
			for n := range 3 {
				m.receive(Heartbeat{From: instance("b", n), Seq: seq + 1, RosterMark: 9, RosterDigest: 9})
			}
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		peers.mu.Lock()
		defer peers.mu.Unlock()
		require.Len(t, peers.asked, 2, "one more, and not all at once")
		for address, at := range peers.asked {
			require.LessOrEqual(t, at.Sub(began), 300*time.Millisecond, address)
		}
		time.Sleep(2 * snapshotTimeout)
	})
}
