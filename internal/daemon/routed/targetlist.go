package routed

import (
	"slices"
	"sync/atomic"

	"merlintiller/internal/state/roster"
)

// targetList is the list of targets as the store has it. It is safe for concurrent use.
type targetList struct {
	list atomic.Pointer[[]roster.Target]
}

func (t *targetList) set(list []roster.Target) { t.list.Store(&list) }

func (t *targetList) any(holds func(*roster.Target) bool) bool {
	list := t.list.Load()
	return list != nil && slices.ContainsFunc(*list, func(entry roster.Target) bool { return holds(&entry) })
}

// leaving reports whether a target is leaving or has left. Its end is planned.
func (t *targetList) leaving(id string) bool {
	if t.list.Load() == nil {
		return false
	}
	return !t.any(func(entry *roster.Target) bool { return entry.ID == id && !entry.Leaving })
}

// replaced reports whether a later incarnation than the given one is listed at an address.
func (t *targetList) replaced(address string, started int64) bool {
	return t.any(func(entry *roster.Target) bool { return entry.Address == address && entry.Started > started })
}
