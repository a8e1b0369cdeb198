package member

import (
	"cmp"
	"slices"
	"sync"

	"merlintiller/internal/protocol"
)

// MaxTombstones limits the withdrawals that are not yet in the replayed state, so
// that a faulty peer can't exhaust memory.
const MaxTombstones = 65536

// Tombstones is the set of key withdrawals that did not arrive over the log. Sets
// may be merged in any order, because a withdrawal is never undone. It is safe for
// concurrent use.
type Tombstones struct {
	mu  sync.Mutex
	set map[protocol.KeyID]protocol.KeyWithdraw
}

// NewTombstones returns an empty set.
func NewTombstones() *Tombstones {
	return &Tombstones{set: map[protocol.KeyID]protocol.KeyWithdraw{}}
}

// Add adds a withdrawal and reports whether it was added. It returns false if the
// key is already in the set or the set is full.
func (t *Tombstones) Add(tombstone protocol.KeyWithdraw) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.set[tombstone.Key]
	if known || len(t.set) >= MaxTombstones {
		return false
	}
	t.set[tombstone.Key] = tombstone
	return true
}

// Remove drops a withdrawal that the replayed state now contains.
func (t *Tombstones) Remove(key protocol.KeyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.set, key)
}

// All returns the withdrawals sorted by key.
func (t *Tombstones) All() []protocol.KeyWithdraw {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]protocol.KeyWithdraw, 0, len(t.set))
	for _, tombstone := range t.set {
		all = append(all, tombstone)
	}
	slices.SortFunc(all, func(a, b protocol.KeyWithdraw) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
