package batch

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// ids lists the held chunks, lost ones included, in a fixed order.
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

// load counts what is held, for planning.
type load struct {
	chunks int
	// items counts those without a result on its way; byOrg by organisation;
	// bytes what their bodies take.
	items int
	bytes int
	byOrg map[protocol.OrganisationID]int
	// fresh counts waiting items that were not tried yet.
	fresh   int
	running int
}

func (w *workset) load() load {
	l := load{byOrg: map[protocol.OrganisationID]int{}}
	for _, c := range w.chunks {
		if !c.lost {
			l.chunks++
		}
		for _, t := range c.tasks {
			if t.state != taskReported && !c.lost {
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

// ready lists the services that have an item to start, and when the next
// straggler may run if none has.
func (w *workset) ready(now time.Time, of services) (names []protocol.ServiceName, unknown []Item, next time.Time) {
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
			name, known := of(t.item.Model)
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

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
