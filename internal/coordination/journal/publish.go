package journal

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
)

// publishFleet sets the configuration that Fleet returns: the replayed
// configuration with the local key withdrawals applied. It never returns to an
// older version. It sets a new pointer only if something changed, because
// readers build an index for each new pointer.
func (j *Journal) publishFleet() {
	j.fleetMu.Lock()
	defer j.fleetMu.Unlock()
	j.mu.RLock()
	replayed := j.state.Fleet.Fleet()
	j.mu.RUnlock()
	if replayed == j.replayedFleet || replayed.Version < j.effectiveFleet.Load().Version {
		return
	}
	j.replayedFleet = replayed
	j.applyLocalTombstones()
}

// applyLocalTombstones applies the local key withdrawals to the replayed
// configuration. The caller holds j.fleetMu.
func (j *Journal) applyLocalTombstones() {
	next := j.replayedFleet
	for _, tombstone := range j.localTombstones.All() {
		if j.replayedFleet.Keys[tombstone.Key].Withdrawn {
			j.localTombstones.Remove(tombstone.Key)
			continue
		}
		next = fleet.WithdrawKey(next, tombstone.Key)
	}
	j.effectiveFleet.Store(next)
}

// WithdrawLocally withdraws a key at once on this instance, also while the log
// is down. Heartbeats send the withdrawal to other instances, and the
// withdrawer appends it to the control stream when the log is up again.
func (j *Journal) WithdrawLocally(key protocol.KeyID, operator string) {
	j.MergeTombstones([]protocol.KeyWithdraw{{Key: key, Operator: operator}})
}

// MergeTombstones adds key withdrawals that another instance sent.
func (j *Journal) MergeTombstones(tombstones []protocol.KeyWithdraw) {
	added := false
	fleet := j.Fleet()
	for _, tombstone := range tombstones {
		if tombstone.Key == "" || fleet.Keys[tombstone.Key].Withdrawn {
			continue
		}
		if j.localTombstones.Add(tombstone) {
			added = true
			j.event("key_withdrawn_locally", "key", tombstone.Key, "operator", tombstone.Operator)
		}
	}
	if !added {
		return
	}
	j.fleetMu.Lock()
	j.applyLocalTombstones()
	j.fleetMu.Unlock()
	j.notifyChanged()
}

// Tombstones returns the key withdrawals that are not yet in the replayed
// state.
func (j *Journal) Tombstones() []protocol.KeyWithdraw { return j.localTombstones.All() }

// KeyActive reports whether a key is known and not withdrawn.
func (j *Journal) KeyActive(id protocol.KeyID) bool {
	key, known := j.Fleet().Keys[id]
	return known && !key.Withdrawn
}
