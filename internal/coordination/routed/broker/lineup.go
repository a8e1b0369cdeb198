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
	want     placement.Want
	// onTimeUntil is when it must be sent for its answer to be on time, arrived
	// when it came to the instance that asks.
	onTimeUntil, arrived time.Time
}

// lineup is the requests and batch items that wait at a broker.
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
type lineup struct {
	waiters []*Waiter
}

func (l *lineup) add(w *Waiter) { l.waiters = append(l.waiters, w) }

func (l *lineup) remove(w *Waiter) {
	l.waiters = slices.DeleteFunc(l.waiters, func(other *Waiter) bool { return other == w })
}

func (l *lineup) len() int { return len(l.waiters) }

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
func (l *lineup) order(now time.Time) []*Waiter {
	slices.SortStableFunc(l.waiters, func(a, b *Waiter) int {
		rankA, rankB := a.rank(now), b.rank(now)
		return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.key(rankA), b.key(rankB)))
	})
	return l.waiters
}

// place has a slot sought for each who waits, in turn, until there is none. Items
// may have to wait though slots are free.
func (l *lineup) place(now time.Time, itemsWait bool, place func(*Waiter) bool) {
	full := map[string]bool{}
	kept := make([]*Waiter, 0, len(l.waiters))
	for _, w := range l.order(now) {
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
	l.waiters = kept
}
