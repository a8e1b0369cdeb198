package routed

import (
	"slices"
	"sync"
	"time"

	"merlintiller/internal/state/roster"
)

// leftTargetTTL is how long a target that is no longer listed is known as one that has left: longer than
// targets serve after they left.
const leftTargetTTL = time.Minute

// targetList is the list of targets as the store has it. It is safe for concurrent use.
type targetList struct {
	mu   sync.Mutex
	list []roster.Target
	// left are the targets that were listed before, with the time since when they are not.
	left map[string]time.Time
}

func (t *targetList) set(list []roster.Target) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == nil {
		t.left = map[string]time.Time{}
	}
	for id, since := range t.left {
		if now.Sub(since) > leftTargetTTL {
			delete(t.left, id)
		}
	}
	for _, entry := range t.list {
		t.left[entry.ID] = now
	}
	for _, entry := range list {
		delete(t.left, entry.ID)
	}
	t.list = list
}

// count returns the number of listed targets.
func (t *targetList) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list)
}

// leaving reports whether a target is leaving or has left. Its end is planned.
func (t *targetList) leaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, left := t.left[id]
	return left || slices.ContainsFunc(t.list, func(entry roster.Target) bool { return entry.ID == id && entry.Leaving })
}

// state returns the state in which a target is listed.
func (t *targetList) state(id string) roster.ListedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.IndexFunc(t.list, func(entry roster.Target) bool { return entry.ID == id })
	_, left := t.left[id]
	switch {
	case at >= 0 && t.list[at].Leaving:
		return roster.ListedLeaving
	case at >= 0:
		return roster.ListedReady
	case left:
		return roster.ListedBefore
	default:
		return roster.NeverListed
	}
}

// replaced reports whether a later incarnation than the given one is listed at an address.
func (t *targetList) replaced(address string, started int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.list, func(entry roster.Target) bool { return entry.Address == address && entry.Started > started })
}
