package journal

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
)

// publish makes the replayed configuration, with the locally withdrawn keys,
// the one that Fleet returns. It never goes back to an older version, and gives
// a new pointer only if something changed, since readers index a configuration
// once for each pointer.
func (j *Journal) publish() {
	j.fleetMu.Lock()
	defer j.fleetMu.Unlock()
	j.mu.RLock()
	replayed := j.state.Fleet.Fleet()
	j.mu.RUnlock()
	if replayed == j.published || replayed.Version < j.fleet.Load().Version {
		return
	}
	j.published = replayed
	j.overlay()
}

// overlay withdraws the local keys in the replayed configuration. The caller
// holds j.fleetMu.
func (j *Journal) overlay() {
	next := j.published
	for _, tombstone := range j.soft.All() {
		if j.published.Keys[tombstone.Key].Withdrawn {
			j.soft.Forget(tombstone.Key)
			continue
		}
		next = fleet.WithdrawKey(next, tombstone.Key)
	}
	j.fleet.Store(next)
}

// WithdrawLocally withdraws a key at once on this instance, also while the log
// is away. Heartbeats carry the withdrawal on, and it is appended to the
// control stream when the log is back.
func (j *Journal) WithdrawLocally(key protocol.KeyID, operator string) {
	j.MergeTombstones([]protocol.KeyWithdraw{{Key: key, Operator: operator}})
}

// MergeTombstones takes over withdrawals that another instance knows.
func (j *Journal) MergeTombstones(tombstones []protocol.KeyWithdraw) {
	news := false
	fleet := j.Fleet()
	for _, tombstone := range tombstones {
		if tombstone.Key == "" || fleet.Keys[tombstone.Key].Withdrawn {
			continue
		}
		if j.soft.Add(tombstone) {
			news = true
			j.event("key_withdrawn_locally", "key", tombstone.Key, "operator", tombstone.Operator)
		}
	}
	if !news {
		return
	}
	j.fleetMu.Lock()
	j.overlay()
	j.fleetMu.Unlock()
	j.announce()
}

// Tombstones returns the withdrawals that are not yet in the replayed state.
func (j *Journal) Tombstones() []protocol.KeyWithdraw { return j.soft.All() }

// KeyActive reports whether a key is known and not withdrawn.
func (j *Journal) KeyActive(id protocol.KeyID) bool {
	key, known := j.Fleet().Keys[id]
	return known && !key.Withdrawn
}
