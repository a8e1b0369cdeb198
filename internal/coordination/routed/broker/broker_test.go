package broker

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// newTestBroker returns a broker of one target with the given number of slots.
func newTestBroker(slots int) *Broker {
	b := New("d", 1, func(string, uint64) bool { return true })
	b.SetTargets(1, []roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: slots}})
	return b
}

func newRequest(number uint64, slack, wait time.Duration) *PlaceRequest {
	return &PlaceRequest{
		Told: HoldReport{Instance: fmt.Sprint("n", number%3)}, Number: number,
		Want: placement.Requirements{Service: "s"}, OnTimeIn: slack, Wait: wait,
	}
}

// For two seconds requests arrive faster than slots become free, and then none arrive. With
// first come, first served, each would wait a little longer than the one before it, and soon
// all of them would be late. As many requests as there are slots for must be on time, and the
// others are served after them.
func TestOverloadMakesFewRequestsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, work, objective = 8, 700 * time.Millisecond, 300 * time.Millisecond
		b := newTestBroker(slots)
		var mu sync.Mutex
		onTime, late := 0, 0
		var callers sync.WaitGroup
		// One and a half times as many requests as can be served.
		const every = work / slots * 2 / 3
		const count = int(2 * time.Second / every)
		for i := range count {
			<-time.After(every)
			callers.Go(func() {
				began := time.Now()
				number := uint64(i)
				reply := b.Place(t.Context(), newRequest(number, objective, 5*time.Second))
				require.True(t, reply.Granted)
				mu.Lock()
				if time.Since(began) <= objective {
					onTime++
				} else {
					late++
				}
				mu.Unlock()
				<-time.After(work)
				b.ApplyReport(&HoldReport{Instance: fmt.Sprint("n", number%3), Released: []uint64{number}})
			})
		}
		callers.Wait()
		// In 2 s, 2 s / 700 ms x 8 = 22 requests can be served besides the first 8, of 34.
		require.Equal(t, count, onTime+late)
		require.GreaterOrEqual(t, onTime, 26, "late: %d", late)
	})
}

func TestItemsLeaveSlotsToWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		first := b.Place(t.Context(), newRequest(1, time.Second, 0))
		require.True(t, first.Granted)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			reply := b.Place(t.Context(), newRequest(2, time.Second, 5*time.Second))
			require.True(t, reply.Granted)
		})
		synctest.Wait()
		items := &PlaceRequest{Told: HoldReport{Instance: "n0"}, Number: 7, Want: placement.Requirements{Service: "s", Batch: true}, OnTimeIn: time.Hour}
		require.False(t, b.Place(t.Context(), items).Granted)
		b.ApplyReport(&HoldReport{Instance: "n1", Released: []uint64{1}})
		waiting.Wait()
		require.False(t, b.Place(t.Context(), items).Granted)
		b.ApplyReport(&HoldReport{Instance: "n2", Released: []uint64{2}})
		require.True(t, b.Place(t.Context(), items).Granted)
	})
}

// A waiting request stops waiting at the moment at which its slot becomes free. The slot must
// not be lost.
func TestRequestThatStopsWaitingKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		require.True(t, b.Place(t.Context(), newRequest(1, time.Second, 0)).Granted)
		require.False(t, b.Place(t.Context(), newRequest(2, time.Second, 100*time.Millisecond)).Granted)
		b.ApplyReport(&HoldReport{Instance: "n1", Released: []uint64{1}})
		require.True(t, b.Place(t.Context(), newRequest(3, time.Second, 0)).Granted)
	})
}

// Items of two instances wait for slots. The item with the earliest deadline must start first,
// regardless of its instance, and an item that can no longer meet its deadline comes last.
func TestItemsOfAllInstancesShareOneQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		require.True(t, b.Place(t.Context(), newRequest(1, time.Second, 0)).Granted)
		var order []int64
		var waiting sync.WaitGroup
		for i, deadline := range []int64{9_000, 5_000, 1_000, 7_000} {
			slack := time.Duration(deadline)*time.Millisecond - 2*time.Second
			waiting.Go(func() {
				number := uint64(10 + i)
				instance := fmt.Sprint("n", i%2)
				reply := b.Place(t.Context(), &PlaceRequest{
					Told: HoldReport{Instance: instance}, Number: number, Due: deadline, OnTimeIn: slack, Wait: 10 * time.Second,
					Want: placement.Requirements{Service: "s", Batch: true},
				})
				require.True(t, reply.Granted)
				order = append(order, deadline)
				<-time.After(100 * time.Millisecond)
				b.ApplyReport(&HoldReport{Instance: instance, Released: []uint64{number}})
			})
		}
		synctest.Wait()
		b.ApplyReport(&HoldReport{Instance: "n1", Released: []uint64{1}})
		waiting.Wait()
		require.Equal(t, []int64{5_000, 7_000, 9_000, 1_000}, order)
	})
}

// An item can't be asked to yield because its instance is not reachable. The request that was
// granted its slot waits in the target's queue. Later requests must not be granted the slot.
func TestSlotIsNotFreeAfterYieldFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d", 1, func(string, uint64) bool { return false })
		b.SetTargets(1, []roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: 1}})
		req := newRequest(1, time.Second, 0)
		req.Want.Batch, req.Lasts = true, 5*time.Second
		require.True(t, b.Place(t.Context(), req).Granted)
		require.True(t, b.Place(t.Context(), newRequest(2, time.Second, 0)).Granted)
		synctest.Wait()
		b.ApplyReport(&HoldReport{Instance: "n2", Released: []uint64{2}})
		require.False(t, b.Place(t.Context(), newRequest(3, time.Second, 0)).Granted)
	})
}

// fakePeers are the other instances of a domain: those that are reachable, and the number of
// those that are not known to be down.
type fakePeers struct {
	up    []mesh.Instance
	alive int
}

func (c *fakePeers) Up(string) []mesh.Instance { return c.up }
func (c *fakePeers) CountNotDown(string) int   { return c.alive }

// Guards against two instances that both consider themselves the only broker of a domain during
// a network partition.
func TestOnlyOneSideOfPartitionIsSoleBroker(t *testing.T) {
	own := mesh.Instance{Name: "a", Domain: "d", Address: "10.0.0.1:1", Strength: 9}
	weaker := mesh.Instance{Name: "b", Domain: "d", Address: "10.0.0.2:1"}
	peers := &fakePeers{up: []mesh.Instance{weaker}, alive: 1}
	c := NewClient(ClientOptions{Self: own, Peers: peers, Broker: newTestBroker(1), Logger: log.NewNopLogger()})
	require.True(t, c.IsSoleBroker())
	peers.alive = 2
	require.True(t, c.IsSoleBroker(), "two of three instances")
	peers.alive = 3
	require.False(t, c.IsSoleBroker(), "two of four instances")
	stronger := weaker
	stronger.Strength = 10
	c = NewClient(ClientOptions{Self: own, Peers: &fakePeers{up: []mesh.Instance{stronger}, alive: 1}, Broker: newTestBroker(1), Logger: log.NewNopLogger()})
	require.False(t, c.IsSoleBroker(), "another instance is the broker")
}
