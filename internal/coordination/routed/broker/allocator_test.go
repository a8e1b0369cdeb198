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

// newTestAllocator returns an allocator of one target with the given number of slots, and one
// target of another service that gets no requests.
func newTestAllocator(slots int) *SlotAllocator {
	a := NewSlotAllocator(placement.New(placement.Options{Domain: "d", Random: rand.New(rand.NewPCG(1, 1))}))
	a.SetTargets([]roster.Target{
		{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: slots},
		{ID: "u", Service: "other", Domain: "d", Address: "10.0.0.2:1", Slots: slots},
	})
	return a
}

// enqueue adds a request to the queue and returns the allocations that follow.
func enqueue(a *SlotAllocator, now time.Time, number uint64, batch bool) []Allocation {
	a.Enqueue(now, &PlaceRequest{
		Told: HoldReport{Instance: fmt.Sprint("n", number%3)}, Number: number, OnTimeIn: time.Second, Due: int64(number),
		Want: placement.Requirements{Service: "s", Batch: batch},
	})
	return a.Allocate(now)
}

// Near a peak all slots but one are taken. An item that got each slot as it becomes free would
// have to yield it to the next request, and each item would run four times, each time with
// another prefill and a new connection. Therefore items leave the last slots free for
// ReserveAfterYield after one had to yield.
func TestItemsLeaveLastSlotsFreeAfterYield(t *testing.T) {
	const slots = 25
	a := newTestAllocator(slots)
	for n := range uint64(slots) {
		require.Len(t, enqueue(a, start, n, true), 1)
	}
	preempting := enqueue(a, start, 100, false)
	require.Len(t, preempting, 1)
	require.Equal(t, Yield{Instance: "n0", Number: slots - 1}, preempting[0].Yield)
	resumed := after(PauseAfterYield)
	require.Empty(t, enqueue(a, resumed, 200, true), "no slot is free")
	// Two of 25 slots stay free.
	for n := range uint64(2) {
		a.ApplyReport(resumed, HoldReport{Instance: fmt.Sprint("n", n%3), Released: []uint64{n}})
		require.Empty(t, a.Allocate(resumed))
	}
	a.ApplyReport(resumed, HoldReport{Instance: "n2", Released: []uint64{2}})
	require.Len(t, a.Allocate(resumed), 1)
	require.Len(t, enqueue(a, resumed, 101, false), 1, "online requests take the reserved slots")
	require.Empty(t, enqueue(a, resumed, 201, true))
	require.Len(t, a.Allocate(after(ReserveAfterYield)), 1, "items take all slots after ReserveAfterYield")
}

// Guards against batch items that get no slot of an idle service while those of another one have to yield theirs
// again and again.
func TestYieldsOfOneServiceHoldUpNoItemsOfAnother(t *testing.T) {
	const slots = 4
	a := newTestAllocator(slots)
	for n := range uint64(slots) {
		require.Len(t, enqueue(a, start, n, true), 1)
	}
	preempting := enqueue(a, start, 100, false)
	require.Len(t, preempting, 1)
	require.True(t, preempting[0].MustYield)
	for n := range uint64(slots) {
		a.Enqueue(start, &PlaceRequest{Told: HoldReport{Instance: "n1"}, Number: 10 + n, OnTimeIn: time.Second, Want: placement.Requirements{Service: "other", Batch: true}})
		require.Len(t, a.Allocate(start), 1, "slot %d of %d", n, slots)
	}
}
