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
)

var snapshots = metrics.NewCounter(`peer_snapshots_total`)

// catchUp fetches what another instance has that is newer, from one at a time.
func (m *Mesh) catchUp(beat Beat) {
	own := m.local.Versions()
	newer := beat.ConfigVersion > own.Config ||
		beat.RosterMark > own.RosterMark && own.StoreAge > beat.StoreAge+staleStore
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
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
	m.Listed(reply.Instances)
	m.local.Adopt(reply)
}
