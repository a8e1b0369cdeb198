package broker

import (
	"fmt"
	"testing"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// BenchmarkAllocation measures a grant and the release of a slot, without waiting requests and with
// 60 of them, without and with fair queueing.
func BenchmarkAllocation(b *testing.B) {
	for _, waiting := range []int{0, 60} {
		for _, fair := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/fair=%t", waiting, fair), func(b *testing.B) {
				a, now := newTestAllocator(8), start
				if fair {
					a.EnableFairQueue()
				}
				number := uint64(0)
				enqueue := func() {
					number++
					a.Enqueue(now, &PlaceRequest{
						Told: HoldReport{Instance: "n"}, Number: number, Want: placement.Requirements{Service: "s"},
						OnTimeIn: 240 * time.Millisecond, Wait: onlineWait, Organisation: fmt.Sprint("o", number%77), Weight: 1, WaitIn: 2 * time.Second,
					})
				}
				for range waiting {
					enqueue()
				}
				for b.Loop() {
					now = now.Add(4 * time.Millisecond)
					enqueue()
					for _, allocation := range a.Allocate(now) {
						a.ApplyReport(now, HoldReport{Instance: "n", Released: []uint64{allocation.Grant.Number}})
						if waiting > 0 {
							break
						}
					}
					a.RejectUnservable(now)
					for a.Waiting() > waiting {
						a.Dequeue(a.queue.waiters[0])
					}
				}
			})
		}
	}
}
