package mesh

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
)

const (
	// snapshotTimeout bounds the fetching of a configuration.
	snapshotTimeout = time.Second
	// compareEvery is the least time between two comparisons of the lists of known
	// instances. They differ for a moment whenever one comes or goes.
	compareEvery = 700 * time.Millisecond
	// staleStore is how much longer than another instance this one must have been
	// without the store before it asks for the list of targets: two periods of its
	// own reads.
	staleStore = 1200 * time.Millisecond
	// storeFirst is how long an instance of a large fleet waits for the store to tell it of
	// a configuration that another one has.
	storeFirst = 700 * time.Millisecond
)

var snapshots = metrics.NewCounter(`peer_snapshots_total`)

// catchUp fetches what another instance has that is newer, from one at a time.
func (m *Mesh) catchUp(beat Heartbeat) {
	own := m.local.Versions()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	stale := own.StoreAge > beat.StoreAge+staleStore
	newer := m.behind(now, beat.ConfigVersion > own.Config, stale) ||
		beat.RosterMark > own.RosterMark && beat.RosterDigest != own.RosterDigest && (stale || m.follows(now))
	if !newer && beat.Known != m.view.Digest() && now.Sub(m.comparedAt) > compareEvery {
		m.comparedAt = now
		newer = true
	}
	if !newer || m.fetching {
		return
	}
	m.fetching = true
	go m.fetch(beat.From.Address, SnapshotArgs{ConfigVersion: own.Config, RosterMark: own.RosterMark})
}

// behind says whether the configuration should be fetched from an instance that has a
// newer one. In a large fleet only few can be asked, and their links would be full of it
// for seconds, so that the store goes first. It needs the lock.
func (m *Mesh) behind(now time.Time, newer, stale bool) bool {
	if !newer {
		m.behindSince = time.Time{}
		return false
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	return stale || !m.view.large() || now.Sub(m.behindSince) > storeFirst
}

func (m *Mesh) fetch(address string, args SnapshotArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	var reply SnapshotReply
	err := m.caller.Call(ctx, address, methodSnapshot, &args, &reply)
	m.mu.Lock()
	m.fetching = false
	m.mu.Unlock()
	if err != nil {
		_ = level.Warn(m.logger).Log("event", "peer_snapshot_failed", "peer", address, "err", err)
		return
	}
	snapshots.Inc()
	m.AddInstances(reply.Instances)
	m.local.ApplySnapshot(reply)
}
