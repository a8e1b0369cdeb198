package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/quota"
)

// intake is how far the feed of a relay was read here.
type intake struct {
	feed, next uint64
	// instances are those that the relay introduced, by index.
	instances []Instance
}

// introduce gives the instance that news are of. It is not known if the relay has not
// introduced it, which a damaged feed may have lost.
func (in *intake) introduce(n *News) (Instance, bool) {
	if n.Index < 0 || n.Index > len(in.instances)+mostSkipped {
		return Instance{}, false
	}
	for n.Index >= len(in.instances) {
		in.instances = append(in.instances, Instance{})
	}
	if n.Instance != nil {
		in.instances[n.Index] = *n.Instance
	}
	found := in.instances[n.Index]
	return found, found.Name != ""
}

// mostSkipped bounds the indexes that a feed leaves out, so that a damaged one does
// not take all memory.
const mostSkipped = 100_000

func decodeNews(batches [][]byte) (all []News, err error) {
	for _, data := range batches {
		var list []News
		if err := cbor.Unmarshal(data, &list); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// pull asks for what an instance has heard, if the fleet speaks through relays. Of the
// relays of the own domain only the first one that answers is asked: both tell the same.
// Those of other domains are all asked, since one that comes back from a cut hears some of
// its domain through another one, a step later.
func (m *Mesh) pull(to Instance) *Pull {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.large() || m.hasEarlierRelay(time.Now(), to) {
		return nil
	}
	if in := m.intakes[to.Name]; in != nil {
		return &Pull{Feed: in.feed, Next: in.next}
	}
	return &Pull{}
}

// hasEarlierRelay says that a relay of the own domain that comes before an instance answered a
// moment ago. It needs the lock.
func (m *Mesh) hasEarlierRelay(now time.Time, to Instance) bool {
	if to.Domain != m.self.Domain {
		return false
	}
	for _, p := range m.chosen {
		if p.Address == to.Address {
			return false
		}
		if p.Domain == to.Domain && now.Sub(m.link(p.Address).answeredAt) < pullFresh {
			return true
		}
	}
	return false
}

// feedFor answers a Pull.
func (m *Mesh) feedFor(pull Pull) *Feed {
	m.mu.Lock()
	defer m.mu.Unlock()
	feed, err := m.feed.answer(time.Now(), m.view, pull)
	if err != nil {
		_ = level.Error(m.logger).Log("event", "feed_not_encoded", "err", err)
		return nil
	}
	return feed
}

// takeFeed takes over what a relay passes on.
func (m *Mesh) takeFeed(relay string, feed *Feed) {
	news, err := decodeNews(feed.Batches)
	if err != nil {
		_ = level.Error(m.logger).Log("event", "feed_unreadable", "peer", relay, "err", err)
		return
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	beats, alive := m.read(relay, feed, news)
	for i := range beats {
		m.local.HeartbeatReceived(beats[i], relayedSilentAfter)
	}
	m.local.PeersConfirmedAlive(alive)
}

// read enters what a relay passes on, and gives what of it is new.
func (m *Mesh) read(relay string, feed *Feed, news []News) (beats []Heartbeat, alive []quota.Liveness) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	in := m.intakes[relay]
	if in == nil || in.feed != feed.ID {
		in = &intake{feed: feed.ID}
		m.intakes[relay] = in
	}
	in.next = feed.Next
	beats = make([]Heartbeat, 0, len(news))
	alive = make([]quota.Liveness, 0, len(feed.Ages))
	for i := range news {
		from, known := in.introduce(&news[i])
		if !known {
			continue
		}
		if beat, fresh := m.view.Relayed(now, from, &news[i]); fresh {
			beats = append(beats, beat)
		}
	}
	for i, age := range feed.Ages {
		if age == ageUnknown || i >= len(in.instances) {
			continue
		}
		at := now.Add(-time.Duration(age) * ageStep)
		if from := in.instances[i]; m.view.Vouch(at, from) {
			alive = append(alive, quota.Liveness{Instance: from.Name, Start: from.Start, At: at})
		}
	}
	return beats, alive
}

// Relayed takes over what a relay passes on of an instance, and gives it as the
// instance's message. It is not fresh if a later one came before.
func (v *View) Relayed(now time.Time, from Instance, news *News) (beat Heartbeat, fresh bool) {
	if from.Name == v.self.Name {
		return Heartbeat{}, false
	}
	e := v.peers[from.Name]
	if e == nil {
		e = v.add(from)
		e.heard = now.Add(-v.pace().silentAfter)
	}
	switch {
	case from.Start < e.Start:
		return Heartbeat{}, false
	case from.Start > e.Start:
		v.rename(e, from)
		e.down = false
	}
	if e.beat.From.Start != from.Start {
		e.beat = Heartbeat{}
	}
	if e.born.IsZero() && news.Uptime > 0 {
		e.born = now.Add(-news.Uptime)
	}
	if at := now.Add(-news.Refused); news.Down && !e.down && at.After(e.heard) {
		e.down, e.downAt, e.dirty = true, at, true
	}
	if news.Seq <= e.beat.Seq && (e.complete || !news.Whole) {
		return Heartbeat{}, false
	}
	beat = e.beat
	if news.Standing != nil && news.Seq > e.beat.Seq {
		news.Standing.apply(&beat)
	}
	beat.From, beat.Seq, beat.Relayed = from, max(news.Seq, e.beat.Seq), true
	beat.Admitted, beat.Whole, beat.Uptime = news.Admitted, news.Whole, e.uptime(now)
	e.beat = beat
	e.note(&beat)
	return beat, true
}

// Vouch takes over when a relay heard of an instance. It says whether that is news.
func (v *View) Vouch(at time.Time, i Instance) bool {
	e := v.peers[i.Name]
	if e == nil || e.Start != i.Start || !at.After(e.heard) {
		return false
	}
	e.heard = at
	if e.down && !at.After(e.downAt) {
		return false
	}
	e.down = false
	return true
}
