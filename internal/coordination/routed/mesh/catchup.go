package mesh

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
)

const (
	// snapshotTimeout bounds a Snapshot call.
	snapshotTimeout = time.Second
	// compareInterval is the minimum time between two snapshots that are fetched because
	// the sets of known instances differ. The sets differ briefly whenever an instance
	// starts or ends.
	compareInterval = 700 * time.Millisecond
	// staleStoreMargin is the age of the list of targets from which this instance fetches it from a
	// peer, and how much older the store's last answer must be here than at the peer before it
	// fetches the configuration. It is two periods of this instance's own reads.
	staleStoreMargin = 1200 * time.Millisecond
	// storeGracePeriod is how long an instance of a large fleet waits for the store to
	// deliver a configuration that a peer already has.
	storeGracePeriod = 700 * time.Millisecond
	// hedgeDelay is the time without an answer after which another peer is asked as well. A
	// snapshot takes some milliseconds.
	hedgeDelay = 200 * time.Millisecond
	// maxFetches bounds the snapshots that are fetched at the same time.
	maxFetches = 2
)

var snapshotsFetched = metrics.NewCounter(`peer_snapshots_total`)

// catchUp starts fetching what the sender of a heartbeat has that is newer. Another fetch is started
// beside a running one only if that takes long: its peer may have stopped answering, and a leaving
// target must not get requests for as long as the call lasts.
func (m *Mesh) catchUp(heartbeat Heartbeat) {
	own := m.delegate.Versions()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	stale := own.StoreAge > heartbeat.StoreAge+staleStoreMargin
	newer := m.shouldFetchConfig(now, heartbeat.ConfigVersion > own.Config, stale) ||
		heartbeat.RosterMark > own.RosterMark && heartbeat.RosterDigest != own.RosterDigest && m.needsPeerTargets(now, own.ListAge)
	if !newer && heartbeat.Known != m.view.Digest() && now.Sub(m.comparedAt) > compareInterval {
		m.comparedAt = now
		newer = true
	}
	if !newer || !m.mayFetchFrom(now, heartbeat.From.Address) {
		return
	}
	m.fetchingFrom[heartbeat.From.Address], m.fetchBegan = true, now
	go m.fetch(heartbeat.From.Address, SnapshotArgs{ConfigVersion: own.Config, RosterMark: own.RosterMark})
}

// mayFetchFrom reports whether a fetch from a peer may start. The caller must hold mu.
func (m *Mesh) mayFetchFrom(now time.Time, address string) bool {
	if len(m.fetchingFrom) == 0 {
		return true
	}
	return !m.fetchingFrom[address] && len(m.fetchingFrom) < maxFetches && now.Sub(m.fetchBegan) >= hedgeDelay
}

// needsPeerTargets reports whether the list of targets has to come from peers, since this instance
// has not read it lately or its relays read it. The caller must hold mu.
//
// Other answers of the store don't count: it may answer all calls but the reads of the list. How long
// the store has been silent to the peer does not matter: if it rejects the relays of a
// failure domain too, they still receive the list from those of other domains.
func (m *Mesh) needsPeerTargets(now time.Time, listAge time.Duration) bool {
	return listAge > staleStoreMargin || m.getsTargetListFromRelay(now)
}

// shouldFetchConfig reports whether to fetch the configuration from a peer that has a newer
// one. In a large fleet only the few relays can be asked, and the configuration would fill
// their links for seconds. So the store is given storeGracePeriod to deliver it first. The
// caller must hold mu.
func (m *Mesh) shouldFetchConfig(now time.Time, newer, stale bool) bool {
	if !newer {
		m.configBehindSince = time.Time{}
		return false
	}
	if m.configBehindSince.IsZero() {
		m.configBehindSince = now
	}
	return stale || !m.view.usesRelays() || now.Sub(m.configBehindSince) > storeGracePeriod
}

func (m *Mesh) fetch(address string, args SnapshotArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	var reply SnapshotReply
	err := m.caller.Call(ctx, address, methodSnapshot, &args, &reply)
	m.mu.Lock()
	delete(m.fetchingFrom, address)
	m.mu.Unlock()
	if err != nil {
		_ = level.Warn(m.logger).Log("event", "peer_snapshot_failed", "peer", address, "err", err)
		return
	}
	snapshotsFetched.Inc()
	m.AddInstances(reply.Instances, reply.Complete)
	m.delegate.ApplySnapshot(reply)
}
