package routed

import (
	"maps"
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
	// leavingSince holds since when incarnations of targets are known to leave: listed so, or not listed any more.
	leavingSince map[incarnation]time.Time
}

// incarnation is one process of a target.
type incarnation struct {
	target  string
	started int64
}

func (t *targetList) set(list []roster.Target) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == nil {
		t.left, t.leavingSince = map[string]time.Time{}, map[incarnation]time.Time{}
	}
	t.updateLeaving(now, list)
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

// updateLeaving updates which incarnations leave, before a new list replaces the old one. An incarnation that is
// listed again as ready does not leave.
func (t *targetList) updateLeaving(now time.Time, list []roster.Target) {
	// leaving tells for each listed incarnation whether it is listed so.
	leaving := make(map[incarnation]bool, len(list))
	for _, entry := range list {
		leaving[incarnation{entry.ID, entry.Started}] = entry.Leaving
	}
	leave := func(id incarnation) {
		if _, known := t.leavingSince[id]; !known {
			t.leavingSince[id] = now
		}
	}
	for id, listedSo := range leaving {
		if listedSo {
			leave(id)
		}
	}
	for _, entry := range t.list {
		id := incarnation{entry.ID, entry.Started}
		if _, listed := leaving[id]; !listed {
			leave(id)
		}
	}
	maps.DeleteFunc(t.leavingSince, func(id incarnation, since time.Time) bool {
		listedSo, listed := leaving[id]
		return listed && !listedSo || !listed && now.Sub(since) > leftTargetTTL
	})
}

// leaves returns since when an incarnation of a target is known to leave, false if it is not.
func (t *targetList) leaves(target string, started int64) (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok = t.leavingSince[incarnation{target, started}]
	return since, ok
}

// domainAt returns the failure domain of the target at an address, "" if none is listed there.
func (t *targetList) domainAt(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.list {
		if entry.Address == address {
			return entry.Domain
		}
	}
	return ""
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
