package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/placement"
)

// entry is a request that waits for a slot.
type entry struct {
	instance string
	hold     Hold
	want     placement.Want
	// onTimeUntil is when it must be sent for its answer to be on time, arrived
	// when it came to the instance that asks.
	onTimeUntil, arrived time.Time
	// placed gets the grant, once.
	placed chan Grant
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
	entries []*entry
}

func (l *lineup) add(e *entry) { l.entries = append(l.entries, e) }

func (l *lineup) remove(e *entry) {
	l.entries = slices.DeleteFunc(l.entries, func(other *entry) bool { return other == e })
}

func (l *lineup) len() int { return len(l.entries) }

// rank tells the four parts of the line apart.
func (e *entry) rank(now time.Time) int {
	rank := 0
	if e.want.Batch {
		rank = 2
	}
	if now.After(e.onTimeUntil) {
		rank++
	}
	return rank
}

// key orders the entries of one part.
func (e *entry) key(rank int) int64 {
	switch {
	case e.want.Batch:
		return e.hold.Due
	case rank > 0:
		return e.arrived.UnixNano()
	default:
		return e.onTimeUntil.UnixNano()
	}
}

// order puts the entries into the order in which they are served.
func (l *lineup) order(now time.Time) []*entry {
	slices.SortStableFunc(l.entries, func(a, b *entry) int {
		rankA, rankB := a.rank(now), b.rank(now)
		return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.key(rankA), b.key(rankB)))
	})
	return l.entries
}

// place gives slots to those who wait, as far as there are any. Items may have to
// wait though slots are free.
func (l *lineup) place(now time.Time, itemsWait bool, place func(*entry) (Grant, bool)) {
	full := map[string]bool{}
	kept := make([]*entry, 0, len(l.entries))
	for _, e := range l.order(now) {
		if full[e.want.Service] || e.want.Batch && itemsWait {
			kept = append(kept, e)
			continue
		}
		grant, ok := place(e)
		if !ok {
			// One that has been to some targets finds no slot where another
			// one may.
			full[e.want.Service] = len(e.want.Exclude) == 0
			kept = append(kept, e)
			continue
		}
		e.placed <- grant
	}
	l.entries = kept
}
