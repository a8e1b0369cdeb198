package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// Waiter is a request or a batch item that waits for a slot.
type Waiter struct {
	instance string
	hold     Hold
	want     placement.Requirements
	// onTimeUntil is when it must be sent for its answer to be on time, arrived
	// when it came to the instance that asks.
	onTimeUntil, arrived time.Time
}

// waitQueue is the requests and batch items that wait at a broker.
//
// The load it answers: at the peak of a swing, or when targets are lost, more
// requests come than slots come free, for some seconds. First come first served
// would make each of them wait a little longer than the one before, until all
// are late. So those that can still be on time go first, by the end of their
// time, and those that can't go after them, as slots allow. Every request that
// is on time costs one that is late anyway some more lateness.
//
// Items come after all online requests, in the same way: those that can still be
// done in time by when they are due, and those that can't behind them. All items
// of the fleet stand in one line, or an item that is due soon would wait at one
// instance while another one begins items that have a lot of time.
type waitQueue struct {
	waiters []*Waiter
}

func (q *waitQueue) add(w *Waiter) { q.waiters = append(q.waiters, w) }

func (q *waitQueue) remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
}

func (q *waitQueue) len() int { return len(q.waiters) }

// rank tells the four parts of the line apart.
func (w *Waiter) rank(now time.Time) int {
	rank := 0
	if w.want.Batch {
		rank = 2
	}
	if now.After(w.onTimeUntil) {
		rank++
	}
	return rank
}

// key orders those of one part.
func (w *Waiter) key(rank int) int64 {
	switch {
	case w.want.Batch:
		return w.hold.Due
	case rank > 0:
		return w.arrived.UnixNano()
	default:
		return w.onTimeUntil.UnixNano()
	}
}

// order puts those who wait into the order in which they are served.
func (q *waitQueue) order(now time.Time) []*Waiter {
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		rankA, rankB := a.rank(now), b.rank(now)
		return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.key(rankA), b.key(rankB)))
	})
	return q.waiters
}

// place has a slot sought for each who waits, in turn, until there is none. Items
// may have to wait though slots are free.
func (q *waitQueue) place(now time.Time, itemsWait bool, place func(*Waiter) bool) {
	full := map[string]bool{}
	kept := make([]*Waiter, 0, len(q.waiters))
	for _, w := range q.order(now) {
		if full[w.want.Service] || w.want.Batch && itemsWait {
			kept = append(kept, w)
			continue
		}
		if place(w) {
			continue
		}
		// One that has been to some targets finds no slot where another one may.
		full[w.want.Service] = len(w.want.Exclude) == 0
		kept = append(kept, w)
	}
	q.waiters = kept
}
