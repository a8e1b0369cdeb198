package broker

import (
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

// lineup is the online requests that wait at a broker.
//
// The load it answers: at the peak of a swing, or when targets are lost, more
// requests come than slots come free, for some seconds. First come first served
// would make each of them wait a little longer than the one before, until all
// are late. So those that can still be on time go first, by the end of their
// time, and those that can't go after them, as slots allow. Every request that
// is on time costs one that is late anyway some more lateness.
type lineup struct {
	entries []*entry
}

func (l *lineup) add(e *entry) { l.entries = append(l.entries, e) }

func (l *lineup) remove(e *entry) {
	l.entries = slices.DeleteFunc(l.entries, func(other *entry) bool { return other == e })
}

func (l *lineup) len() int { return len(l.entries) }

// order puts the entries into the order in which they are served.
func (l *lineup) order(now time.Time) []*entry {
	slices.SortStableFunc(l.entries, func(a, b *entry) int {
		lateA, lateB := now.After(a.onTimeUntil), now.After(b.onTimeUntil)
		switch {
		case lateA && !lateB:
			return 1
		case lateB && !lateA:
			return -1
		case lateA:
			return a.arrived.Compare(b.arrived)
		default:
			return a.onTimeUntil.Compare(b.onTimeUntil)
		}
	})
	return l.entries
}

// place gives slots to waiting requests, as far as there are any.
func (l *lineup) place(now time.Time, place func(*entry) (Grant, bool)) {
	full := map[string]bool{}
	kept := make([]*entry, 0, len(l.entries))
	for _, e := range l.order(now) {
		if full[e.want.Service] {
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
