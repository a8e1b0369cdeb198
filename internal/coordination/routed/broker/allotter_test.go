package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// newTestAllotter is an allotter of a target with some slots, beside one of another
// service that nobody uses.
func newTestAllotter(slots int) *SlotAllocator {
	a := NewSlotAllocator(placement.New(placement.Options{Domain: "d", Random: rand.New(rand.NewPCG(1, 1))}))
	a.SetTargets([]roster.Target{
		{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: slots},
		{ID: "u", Service: "other", Domain: "d", Address: "10.0.0.2:1", Slots: slots},
	})
	return a
}

// enter has one wait and gives what was allotted then.
func enter(a *SlotAllocator, now time.Time, number uint64, batch bool) []Allocation {
	a.Enqueue(now, &PlaceRequest{
		Told: HoldReport{Instance: fmt.Sprint("n", number%3)}, Number: number, OnTimeIn: time.Second, Due: int64(number),
		Want: placement.Requirements{Service: "s", Batch: batch},
	})
	return a.Allocate(now)
}

// Near a peak all slots but one are taken, and the next request takes the last one
// back from the item that got it. If an item got each slot that comes free, it would
// be taken back a moment later, and each item would be run four times, each time with
// its prompt read again and a new connection. So for a while after one gave way items
// leave the last slots to requests.
func TestItemsLeaveTheLastSlotsAfterOneGaveWay(t *testing.T) {
	const slots = 25
	a := newTestAllotter(slots)
	for n := range uint64(slots) {
		require.Len(t, enter(a, start, n, true), 1)
	}
	taken := enter(a, start, 100, false)
	require.Len(t, taken, 1)
	require.Equal(t, Yield{Instance: "n0", Number: slots - 1}, taken[0].Yield)
	calm := after(PauseAfterYield)
	require.Empty(t, enter(a, calm, 200, true), "no slot is free")
	// Two of 25 slots stay free.
	for n := range uint64(2) {
		a.ApplyReport(calm, HoldReport{Instance: fmt.Sprint("n", n%3), Released: []uint64{n}})
		require.Empty(t, a.Allocate(calm))
	}
	a.ApplyReport(calm, HoldReport{Instance: "n2", Released: []uint64{2}})
	require.Len(t, a.Allocate(calm), 1)
	require.Len(t, enter(a, calm, 101, false), 1, "requests take the spared slots")
	require.Empty(t, enter(a, calm, 201, true))
	require.Len(t, a.Allocate(after(ReserveAfterYield)), 1, "later items take all slots")
}
