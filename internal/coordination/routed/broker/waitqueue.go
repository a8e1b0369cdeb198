package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// Waiter is a request or a batch item that waits for a slot.
type Waiter struct {
	instance     string
	hold         Hold
	requirements placement.Requirements
	// sendBy is when the request must be sent for its answer to be on time. arrived is when
	// it arrived at the requesting instance.
	sendBy, arrived time.Time
	// start is the decision about a batch item by the forecast of demand.
	start startDecision
}

// waitQueue holds the requests and batch items that wait at a broker.
//
// At the peak of a load swing, or when targets are lost, requests arrive faster than slots
// become free for some seconds. With first come, first served, each request would wait a
// little longer than the one before it, until all are late. Therefore requests that can still
// be on time go first, ordered by the time at which they must be sent. Requests that are
// already late get the remaining slots. Each request that is on time delays one that is late
// in any case.
//
// Batch items come after all online requests and are ordered in the same way: first those that
// can still meet their deadlines, by deadline, and then the others. The items of all instances
// share one queue. Otherwise an item with a near deadline could wait at one instance while
// another instance starts items that have a lot of time left.
type waitQueue struct {
	waiters []*Waiter
}

func (q *waitQueue) add(w *Waiter) { q.waiters = append(q.waiters, w) }

func (q *waitQueue) remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
}

func (q *waitQueue) len() int { return len(q.waiters) }

// class returns the priority class of a waiter. There are four: 0 is an online request that can
// still be on time, 1 a late one, 2 an item that can still meet its deadline, 3 a late item.
func (w *Waiter) class(now time.Time) int {
	class := 0
	if w.requirements.Batch {
		class = 2
	}
	if now.After(w.sendBy) {
		class++
	}
	return class
}

// sortKey orders waiters of the same class.
func (w *Waiter) sortKey(class int) int64 {
	switch {
	case w.requirements.Batch:
		return w.hold.Due
	case class > 0:
		return w.arrived.UnixNano()
	default:
		return w.sendBy.UnixNano()
	}
}

// sorted sorts the waiters into the order in which they are served, and returns them.
func (q *waitQueue) sorted(now time.Time) []*Waiter {
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		classA, classB := a.class(now), b.class(now)
		return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(a.sortKey(classA), b.sortKey(classB)))
	})
	return q.waiters
}

// place calls place for each waiter in order, until a service has no slot left, and removes
// those that got a slot. Batch items are skipped while batchPaused is set, even if slots are
// free.
func (q *waitQueue) place(now time.Time, batchPaused bool, place func(*Waiter) bool) {
	full := map[string]bool{}
	kept := make([]*Waiter, 0, len(q.waiters))
	for _, w := range q.sorted(now) {
		if full[w.requirements.Service] || w.requirements.Batch && batchPaused {
			kept = append(kept, w)
			continue
		}
		if place(w) {
			continue
		}
		// A waiter that excludes some targets, or needs certain software versions, may find no slot
		// although others can.
		full[w.requirements.Service] = w.start != startHeld && len(w.requirements.Exclude) == 0 && len(w.requirements.Versions) == 0
		kept = append(kept, w)
	}
	q.waiters = kept
}
