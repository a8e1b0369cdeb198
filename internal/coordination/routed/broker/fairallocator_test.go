package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
)

// newFairAllocator returns an allocator of a number of slots with fair queueing.
func newFairAllocator(slots int) *SlotAllocator {
	a := newTestAllocator(slots)
	a.EnableFairQueue()
	return a
}

// fairRequest is a request that may be rejected and waits if wait is above 0.
func fairRequest(number uint64, age, wait time.Duration, first bool) *PlaceRequest {
	return &PlaceRequest{
		Told: HoldReport{Instance: "n0"}, Number: number, Want: placement.Requirements{Service: "s"}, Wait: wait, Age: age,
		OnTimeIn: 200 * time.Millisecond, Organisation: "o", Weight: 1, RejectIn: 50 * time.Millisecond, WaitIn: 2 * time.Second,
		FirstWait: first,
	}
}

// countEvents returns the number of events that a rate has counted in the last second.
func countEvents(r *eventRate) (n int) {
	for _, count := range r.counts {
		n += count
	}
	return n
}

// Guards against a rate of freed slots that includes slots that were given back unused, after which
// requests wait that cannot get a slot.
func TestUnusedSlotsDoNotCountAsFreed(t *testing.T) {
	for held, counted := range map[time.Duration]int{0: 0, 5 * time.Millisecond: 0, 45 * time.Millisecond: 1, time.Second: 1} {
		a := newFairAllocator(1)
		free := a.Free(start)
		a.Enqueue(start, fairRequest(1, 0, time.Second, true))
		require.Len(t, a.Allocate(start), 1)
		end := start.Add(held)
		a.ApplyReport(end, HoldReport{Instance: "n0", Released: []uint64{1}})
		require.Equal(t, counted, countEvents(&a.queue.fair.service("s").freed), held)
		require.Equal(t, free, a.Free(end), "the slot is free in any case")
	}
}

// Guards against requests that are never counted as arrivals, such as those that met two brokers that
// did not answer, and against those that are counted again after each wait.
func TestFirstWaitIsCountedAsArrival(t *testing.T) {
	late := 2 * requestTimeout
	for _, c := range []struct {
		name    string
		first   bool
		age     time.Duration
		counted int
	}{
		{"first wait", true, 0, 1},
		{"first wait after two unanswered brokers", true, late, 1},
		{"earlier release, first wait", false, 0, 1},
		{"later wait", false, late, 0},
	} {
		a := newFairAllocator(0)
		a.Enqueue(start, fairRequest(1, c.age, onlineWait, c.first))
		require.Equal(t, c.counted, countEvents(&a.queue.fair.service("s").arrivals), c.name)
	}
}
