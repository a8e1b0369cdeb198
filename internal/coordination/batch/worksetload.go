package batch

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// ids returns the ids of the held chunks, including chunks with lost claims, in a
// fixed order.
func (w *workset) ids() []ledger.ChunkID {
	ids := make([]ledger.ChunkID, 0, len(w.chunks))
	for id := range w.chunks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ledger.ChunkID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Chunk, b.Chunk))
	})
	return ids
}

// load is the amount of held work, for planning.
type load struct {
	chunks int
	// items is the number of items without a queued result, bytes the size of
	// their bodies, and byOrg their number by organisation.
	items int
	bytes int
	byOrg map[protocol.OrganisationID]int
	// fresh is the number of waiting items without a failed attempt.
	fresh int
	// running is the number of items in flight.
	running int
}

func (w *workset) load() load {
	l := load{byOrg: map[protocol.OrganisationID]int{}}
	for _, c := range w.chunks {
		if !c.lost {
			l.chunks++
		}
		for _, t := range c.tasks {
			if t.state != taskResultQueued && !c.lost {
				l.items++
				l.bytes += len(t.item.Body)
				l.byOrg[c.organisation]++
			}
			if t.state == taskWaiting && t.attempts == 0 {
				l.fresh++
			}
			if t.state == taskRunning {
				l.running++
			}
		}
	}
	return l
}

// ready returns the services that have an item to start, the items whose model no
// service serves, and the earliest time at which an item in backoff may start.
// next is zero if no item is in backoff.
func (w *workset) ready(now time.Time, resolve serviceResolver) (names []protocol.ServiceName, unknown []Item, next time.Time) {
	for _, c := range w.chunks {
		if !w.startable(c, now) {
			continue
		}
		for _, t := range c.tasks {
			if t.state != taskWaiting {
				continue
			}
			if t.notBefore.After(now) {
				next = earliest(next, t.notBefore)
				continue
			}
			name, known := resolve(t.item.Model)
			if !known {
				unknown = append(unknown, t.item)
				continue
			}
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names, unknown, next
}

// earliest returns the earlier of two times. A zero time is ignored.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
