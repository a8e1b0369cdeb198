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

// newTestBroker is a broker of one target with some slots.
func newTestBroker(slots int) *Broker {
	b := New("d", 1, func(string, uint64) bool { return true })
	b.SetTargets([]roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: slots}})
	return b
}

func askOf(number uint64, onTimeIn, wait time.Duration) *Ask {
	return &Ask{
		Told: Told{Instance: fmt.Sprint("n", number%3)}, Number: number,
		Want: placement.Want{Service: "s"}, OnTimeIn: onTimeIn, Wait: wait,
	}
}

// For two seconds requests come faster than slots come free, and then not at all.
// Served first come first served, each would wait a little longer than the one
// before, and soon all of them would be late. As many as there are slots for must
// be on time, and the others are served after them.
func TestOverloadMakesFewRequestsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, work, objective = 8, 700 * time.Millisecond, 300 * time.Millisecond
		b := newTestBroker(slots)
		var mu sync.Mutex
		onTime, late := 0, 0
		var callers sync.WaitGroup
		// One and a half times as many as can be served.
		const every = work / slots * 2 / 3
		const count = int(2 * time.Second / every)
		for i := range count {
			<-time.After(every)
			callers.Go(func() {
				began := time.Now()
				number := uint64(i)
				reply := b.Place(t.Context(), askOf(number, objective, 5*time.Second))
				require.True(t, reply.Granted)
				mu.Lock()
				if time.Since(began) <= objective {
					onTime++
				} else {
					late++
				}
				mu.Unlock()
				<-time.After(work)
				b.Tell(&Told{Instance: fmt.Sprint("n", number%3), Released: []uint64{number}})
			})
		}
		callers.Wait()
		// 2 s have room for 2 s / 700 ms x 8 = 22 beside the first 8, of 34.
		require.Equal(t, count, onTime+late)
		require.GreaterOrEqual(t, onTime, 26, "late: %d", late)
	})
}

func TestItemsLeaveSlotsToRequestsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		first := b.Place(t.Context(), askOf(1, time.Second, 0))
		require.True(t, first.Granted)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			reply := b.Place(t.Context(), askOf(2, time.Second, 5*time.Second))
			require.True(t, reply.Granted)
		})
		synctest.Wait()
		items := &Ask{Told: Told{Instance: "n0"}, Number: 7, Want: placement.Want{Service: "s", Batch: true}, OnTimeIn: time.Hour}
		require.False(t, b.Place(t.Context(), items).Granted)
		b.Tell(&Told{Instance: "n1", Released: []uint64{1}})
		waiting.Wait()
		require.False(t, b.Place(t.Context(), items).Granted)
		b.Tell(&Told{Instance: "n2", Released: []uint64{2}})
		require.True(t, b.Place(t.Context(), items).Granted)
	})
}

// A request that waits gives up at the moment at which its slot comes free. The
// slot must not be lost.
func TestRequestThatGivesUpKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		require.True(t, b.Place(t.Context(), askOf(1, time.Second, 0)).Granted)
		require.False(t, b.Place(t.Context(), askOf(2, time.Second, 100*time.Millisecond)).Granted)
		b.Tell(&Told{Instance: "n1", Released: []uint64{1}})
		require.True(t, b.Place(t.Context(), askOf(3, time.Second, 0)).Granted)
	})
}

// Items of two instances wait for slots. The one that is due first must begin
// first, whoever asks, and one that can't be done in time any more comes last.
func TestItemsOfAllInstancesStandInOneLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		require.True(t, b.Place(t.Context(), askOf(1, time.Second, 0)).Granted)
		var order []int64
		var waiting sync.WaitGroup
		for i, due := range []int64{9_000, 5_000, 1_000, 7_000} {
			onTimeIn := time.Duration(due)*time.Millisecond - 2*time.Second
			waiting.Go(func() {
				number := uint64(10 + i)
				instance := fmt.Sprint("n", i%2)
				reply := b.Place(t.Context(), &Ask{
					Told: Told{Instance: instance}, Number: number, Due: due, OnTimeIn: onTimeIn, Wait: 10 * time.Second,
					Want: placement.Want{Service: "s", Batch: true},
				})
				require.True(t, reply.Granted)
				order = append(order, due)
				<-time.After(100 * time.Millisecond)
				b.Tell(&Told{Instance: instance, Released: []uint64{number}})
			})
		}
		synctest.Wait()
		b.Tell(&Told{Instance: "n1", Released: []uint64{1}})
		waiting.Wait()
		require.Equal(t, []int64{5_000, 7_000, 9_000, 1_000}, order)
	})
}

// An item can't be asked to give way, since the path to its instance is cut. The
// request that got its slot finds out in the target's queue; the next ones must not.
func TestSlotOfAnItemThatCannotBeAskedIsNotFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d", 1, func(string, uint64) bool { return false })
		b.SetTargets([]roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: 1}})
		ask := askOf(1, time.Second, 0)
		ask.Want.Batch, ask.Lasts = true, 5*time.Second
		require.True(t, b.Place(t.Context(), ask).Granted)
		require.True(t, b.Place(t.Context(), askOf(2, time.Second, 0)).Granted)
		synctest.Wait()
		b.Tell(&Told{Instance: "n2", Released: []uint64{2}})
		require.False(t, b.Place(t.Context(), askOf(3, time.Second, 0)).Granted)
	})
}

// crowd is the other instances of a domain: who is heard, and how many are not known to be
// gone.
type crowd struct {
	up    []mesh.Instance
	alive int
}

func (c *crowd) Up(string) []mesh.Instance { return c.up }
func (c *crowd) CountNotDown(string) int   { return c.alive }

// Guards against two instances that each take themselves for the only broker of a domain
// whose instances are cut off from each other.
func TestOnlyOneSideOfACutLeads(t *testing.T) {
	own := mesh.Instance{Name: "a", Domain: "d", Address: "10.0.0.1:1", Strength: 9}
	weaker := mesh.Instance{Name: "b", Domain: "d", Address: "10.0.0.2:1"}
	peers := &crowd{up: []mesh.Instance{weaker}, alive: 1}
	c := NewClient(ClientOptions{Self: own, Peers: peers, Broker: newTestBroker(1), Logger: log.NewNopLogger()})
	require.True(t, c.Leads())
	peers.alive = 2
	require.True(t, c.Leads(), "two of three")
	peers.alive = 3
	require.False(t, c.Leads(), "two of four")
	stronger := weaker
	stronger.Strength = 10
	c = NewClient(ClientOptions{Self: own, Peers: &crowd{up: []mesh.Instance{stronger}, alive: 1}, Broker: newTestBroker(1), Logger: log.NewNopLogger()})
	require.False(t, c.Leads(), "another one is the broker")
}
