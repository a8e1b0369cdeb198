package broker

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/placement"
	"merlintiller/internal/state/roster"
)

// newTestBroker is a broker of one target with some slots.
func newTestBroker(slots int) *Broker {
	b := New("d", 1, func(string, uint64) {})
	b.SetTargets([]roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: slots}})
	return b
}

func askOf(number uint64, onTimeIn, wait time.Duration) *Ask {
	return &Ask{
		Told: Told{Instance: fmt.Sprint("n", number%3)}, Numbers: []uint64{number},
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
				require.Len(t, reply.Grants, 1)
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
		require.Len(t, first.Grants, 1)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			reply := b.Place(t.Context(), askOf(2, time.Second, 5*time.Second))
			require.Len(t, reply.Grants, 1)
		})
		synctest.Wait()
		items := &Ask{Told: Told{Instance: "n0"}, Numbers: []uint64{7, 8}, Want: placement.Want{Service: "s", Batch: true}}
		require.Empty(t, b.Place(t.Context(), items).Grants)
		b.Tell(&Told{Instance: "n1", Released: []uint64{1}})
		waiting.Wait()
		require.Empty(t, b.Place(t.Context(), items).Grants)
		b.Tell(&Told{Instance: "n2", Released: []uint64{2}})
		require.Len(t, b.Place(t.Context(), items).Grants, 1)
	})
}

// A request that waits gives up at the moment at which its slot comes free. The
// slot must not be lost.
func TestRequestThatGivesUpKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(1)
		require.Len(t, b.Place(t.Context(), askOf(1, time.Second, 0)).Grants, 1)
		require.Empty(t, b.Place(t.Context(), askOf(2, time.Second, 100*time.Millisecond)).Grants)
		b.Tell(&Told{Instance: "n1", Released: []uint64{1}})
		require.Len(t, b.Place(t.Context(), askOf(3, time.Second, 0)).Grants, 1)
	})
}
