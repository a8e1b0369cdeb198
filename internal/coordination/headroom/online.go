package headroom

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// TargetCount is a number of calls at a target.
type TargetCount struct {
	Target protocol.TargetID
	Count  int
}

// notice is what another instance said of its online calls at a target.
type notice struct {
	online int
	at     time.Time
}

// traffic counts the online calls at one target.
type traffic struct {
	own     int
	notices map[protocol.InstanceID]notice
	// told is what the target's feeder said it has placed, oldest first.
	told history
}

func (t *traffic) sum(now time.Time, life time.Duration) int {
	sum := t.own
	for from, n := range t.notices {
		if now.Sub(n.at) > life {
			delete(t.notices, from)
			continue
		}
		sum += n.online
	}
	return sum
}

// outbox decides which instance is told of which counts. A start is urgent: the
// target's feeder must make room. An end may wait and share a message.
type outbox struct {
	settings Settings
	urgent   map[protocol.TargetID]bool
	calm     map[protocol.TargetID]bool
	calmAt   time.Time
	repeatAt time.Time
	allAt    time.Time
}

func newOutbox(settings Settings) *outbox {
	return &outbox{
		settings: settings,
		urgent:   map[protocol.TargetID]bool{},
		calm:     map[protocol.TargetID]bool{},
	}
}

// due are the targets whose feeder is to be told now.
func (o *outbox) due(now time.Time, traffics map[protocol.TargetID]*traffic) []protocol.TargetID {
	if now.Sub(o.repeatAt) >= o.settings.NoticeRepeat {
		o.repeatAt = now
		all := now.Sub(o.allAt) >= o.settings.NoticeAll
		if all {
			o.allAt = now
		}
		for id, t := range traffics {
			if all || t.own > 0 {
				o.calm[id] = true
			}
		}
	}
	var ids []protocol.TargetID
	for id := range o.urgent {
		ids = append(ids, id)
	}
	if now.Sub(o.calmAt) >= o.settings.NoticeCalm {
		o.calmAt = now
		for id := range o.calm {
			if !o.urgent[id] {
				ids = append(ids, id)
			}
		}
		clear(o.calm)
	}
	clear(o.urgent)
	slices.Sort(ids)
	return ids
}

// OnlineStarted counts an own online call at the moment it is routed and
// returns the slots to revoke, if the target is fed here.
func (c *Core) OnlineStarted(now time.Time, target protocol.TargetID) []SlotID {
	c.traffic(target).own++
	c.outbox.urgent[target] = true
	return c.started(now, target)
}

// OnlineEnded counts the end of an own online call.
func (c *Core) OnlineEnded(target protocol.TargetID) {
	t := c.traffic(target)
	t.own--
	if t.own < 0 {
		panic("headroom: more online calls ended than started")
	}
	c.outbox.calm[target] = true
}

// ApplyNotice takes in what another instance says and returns the slots to revoke.
func (c *Core) ApplyNotice(now time.Time, from protocol.InstanceID, counts []TargetCount) []SlotID {
	var revoked []SlotID
	for _, count := range counts {
		t := c.traffic(count.Target)
		if t.notices == nil {
			t.notices = map[protocol.InstanceID]notice{}
		}
		before := t.notices[from].online
		t.notices[from] = notice{online: max(0, count.Count), at: now}
		if count.Count > before {
			revoked = append(revoked, c.started(now, count.Target)...)
		} else {
			revoked = append(revoked, c.followTarget(now, count.Target)...)
		}
	}
	return revoked
}

// PlacedItems are the batch items at the given targets that are fed here.
func (c *Core) PlacedItems(asked []TargetCount) []TargetCount {
	var placed []TargetCount
	for _, a := range asked {
		if w, ok := c.windows[a.Target]; ok {
			placed = append(placed, TargetCount{Target: a.Target, Count: len(w.slots)})
		}
	}
	return placed
}

// RecordPeerBatchItems takes in the batch items that a feeder has placed.
func (c *Core) RecordPeerBatchItems(now time.Time, placed []TargetCount) {
	for _, p := range placed {
		c.traffic(p.Target).told.note(now, max(0, p.Count))
	}
}

// PeerBatchItems is the number of batch items that another instance had at a
// target at a time, as far as it is known here. Reports lag, so what they count
// has to be compared with what was there then.
func (c *Core) PeerBatchItems(id protocol.TargetID, at time.Time) int {
	if _, fed := c.windows[id]; fed {
		return 0
	}
	if t, ok := c.traffics[id]; ok {
		return t.told.at(at)
	}
	return 0
}

// DueNotices are the counts to tell other instances now, by feeder.
func (c *Core) DueNotices(now time.Time, feeders map[protocol.TargetID]protocol.InstanceID, self protocol.InstanceID) map[protocol.InstanceID][]TargetCount {
	var out map[protocol.InstanceID][]TargetCount
	for _, id := range c.outbox.due(now, c.traffics) {
		feeder := feeders[id]
		if feeder == "" || feeder == self {
			continue
		}
		if out == nil {
			out = map[protocol.InstanceID][]TargetCount{}
		}
		out[feeder] = append(out[feeder], TargetCount{Target: id, Count: c.traffic(id).own})
	}
	return out
}

func (c *Core) traffic(id protocol.TargetID) *traffic {
	t, ok := c.traffics[id]
	if !ok {
		t = &traffic{}
		c.traffics[id] = t
	}
	return t
}

// SyncTargets drops the counts of targets that do not exist any more, and begins to
// count for new ones.
func (c *Core) SyncTargets(existing []Target) {
	known := make(map[protocol.TargetID]bool, len(existing))
	for _, t := range existing {
		known[t.ID] = true
	}
	for id, t := range c.traffics {
		if !known[id] && t.own == 0 {
			delete(c.traffics, id)
		}
	}
	for id := range known {
		c.traffic(id)
	}
}
