package mesh

import (
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/protocol"
)

// feedReader is the reading position in a relay's feed.
type feedReader struct {
	feedID, next uint64
	// instances are the instances that the relay has announced, by PeerUpdate.Index.
	instances []Instance
}

// resolve returns the instance that an update is about. It returns false if the relay has
// not announced the instance, which may happen if a damaged feed has lost the announcement.
func (r *feedReader) resolve(update *PeerUpdate) (Instance, bool) {
	if update.Index < 0 || update.Index > len(r.instances)+maxIndexGap {
		return Instance{}, false
	}
	for update.Index >= len(r.instances) {
		r.instances = append(r.instances, Instance{})
	}
	if update.Instance != nil {
		r.instances[update.Index] = *update.Instance
	}
	found := r.instances[update.Index]
	return found, found.Name != ""
}

// maxIndexGap limits how far an index may exceed the known ones, so that a damaged feed
// can't exhaust the memory.
const maxIndexGap = 100_000

func decodeUpdates(batches [][]byte) (all []PeerUpdate, err error) {
	for _, data := range batches {
		var list []PeerUpdate
		if err := protocol.UnmarshalOpaque(data, &list); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// feedRequestFor returns the request for a peer's feed, or nil if the fleet uses no relays
// or the peer's feed is not needed. Of the relays of its own domain an instance reads only
// the first one that answers, since their feeds have the same contents. It reads the relays
// of all other domains: a relay that recovers from a network partition learns the state of
// part of its domain from another relay, one step later.
func (m *Mesh) feedRequestFor(to Instance) *FeedRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.usesRelays() || m.earlierRelayAnswered(time.Now(), to) {
		return nil
	}
	if r := m.feedReaders[to.Name]; r != nil {
		return &FeedRequest{Feed: r.feedID, Next: r.next}
	}
	return &FeedRequest{}
}

// earlierRelayAnswered reports whether a relay of the own domain that precedes the given
// instance has answered within feedAnswerMaxAge. The caller must hold mu.
func (m *Mesh) earlierRelayAnswered(now time.Time, to Instance) bool {
	if to.Domain != m.self.Domain {
		return false
	}
	for _, p := range m.partners {
		if p.Address == to.Address {
			return false
		}
		if p.Domain == to.Domain && now.Sub(m.link(p.Address).answeredAt) < feedAnswerMaxAge {
			return true
		}
	}
	return false
}

// answerFeed answers a FeedRequest.
func (m *Mesh) answerFeed(request FeedRequest) *Feed {
	m.mu.Lock()
	defer m.mu.Unlock()
	feed, err := m.feed.answer(time.Now(), m.view, request)
	if err != nil {
		_ = level.Error(m.logger).Log("event", "feed_not_encoded", "err", err)
		return nil
	}
	return feed
}

// applyFeed records a relay's feed and passes its contents to the delegate.
func (m *Mesh) applyFeed(relay string, feed *Feed) {
	updates, err := decodeUpdates(feed.Batches)
	if err != nil {
		_ = level.Error(m.logger).Log("event", "feed_unreadable", "peer", relay, "err", err)
		return
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	heartbeats, alive := m.mergeFeed(relay, feed, updates)
	for i := range heartbeats {
		m.delegate.HeartbeatReceived(heartbeats[i], relayedSilenceTimeout)
	}
	m.delegate.PeersConfirmedAlive(alive)
}

// mergeFeed records a relay's feed. It returns the heartbeats and liveness reports in it
// that are newer than those known here.
func (m *Mesh) mergeFeed(relay string, feed *Feed, updates []PeerUpdate) (heartbeats []Heartbeat, alive []quota.Liveness) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.feedReaders[relay]
	if r == nil || r.feedID != feed.ID {
		r = &feedReader{feedID: feed.ID}
		m.feedReaders[relay] = r
	}
	r.next = feed.Next
	heartbeats = make([]Heartbeat, 0, len(updates))
	alive = make([]quota.Liveness, 0, len(feed.Ages))
	for i := range updates {
		from, known := r.resolve(&updates[i])
		if !known {
			continue
		}
		if heartbeat, fresh := m.view.ApplyUpdate(now, from, &updates[i]); fresh {
			heartbeats = append(heartbeats, heartbeat)
		}
	}
	for i, age := range feed.Ages {
		if age == ageUnknown || i >= len(r.instances) {
			continue
		}
		at := now.Add(-time.Duration(age) * ageStep)
		if from := r.instances[i]; m.view.ConfirmAlive(at, from) {
			alive = append(alive, quota.Liveness{Instance: from.Name, Start: from.Start, At: at})
		}
	}
	return heartbeats, alive
}

// ApplyUpdate records a relay's update about a peer and returns it in the form of a
// heartbeat of that peer. It returns false if a later heartbeat was received before.
func (v *View) ApplyUpdate(now time.Time, from Instance, update *PeerUpdate) (heartbeat Heartbeat, fresh bool) {
	if from.Name == v.self.Name {
		return Heartbeat{}, false
	}
	e := v.peers[from.Name]
	if e == nil {
		e = v.add(from)
		e.lastSeen = now.Add(-v.timing().silenceTimeout)
	}
	switch {
	case from.Start < e.Start:
		return Heartbeat{}, false
	case from.Start > e.Start:
		v.setInstance(e, from)
		e.down = false
	}
	if e.heartbeat.From.Start != from.Start {
		e.heartbeat = Heartbeat{}
	}
	if e.startedAt.IsZero() && update.Uptime > 0 {
		e.startedAt = now.Add(-update.Uptime)
	}
	if at := now.Add(-update.RefusedAgo); update.Down && !e.down && at.After(e.lastSeen) {
		e.down, e.downAt, e.dirty = true, at, true
	}
	if update.Seq <= e.heartbeat.Seq && (e.complete || !update.Full) {
		return Heartbeat{}, false
	}
	heartbeat = e.heartbeat
	if update.Status != nil && update.Seq > e.heartbeat.Seq {
		update.Status.apply(&heartbeat)
	}
	heartbeat.From, heartbeat.Seq, heartbeat.Relayed = from, max(update.Seq, e.heartbeat.Seq), true
	heartbeat.Admitted, heartbeat.Whole, heartbeat.Uptime = update.Admitted, update.Full, e.uptime(now)
	e.heartbeat = heartbeat
	e.record(&heartbeat)
	return heartbeat, true
}

// ConfirmAlive records when a relay last received a heartbeat from a peer. It returns false
// if the peer is unknown, was seen later than that, or has refused a connection since.
func (v *View) ConfirmAlive(at time.Time, i Instance) bool {
	e := v.peers[i.Name]
	if e == nil || e.Start != i.Start || !at.After(e.lastSeen) {
		return false
	}
	e.lastSeen = at
	if e.down && !at.After(e.downAt) {
		return false
	}
	e.down = false
	return true
}
