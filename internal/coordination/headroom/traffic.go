package headroom

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// TargetCount is a number of online calls or batch items at a target.
type TargetCount struct {
	Target protocol.TargetID
	Count  int
}

// notice is the number of online calls at a target that another instance last
// reported.
type notice struct {
	online     int
	receivedAt time.Time
}

// traffic holds what this instance knows of the calls at one target.
type traffic struct {
	// own is the number of this instance's online calls in flight.
	own int
	// notices holds the last notice of each other instance.
	notices map[protocol.InstanceID]notice
	// peerBatchItems is the history of the number of batch items that the
	// target's feeder reported.
	peerBatchItems history
}

// onlineCalls returns the number of known online calls in flight. It deletes
// notices that are older than maxAge.
func (t *traffic) onlineCalls(now time.Time, maxAge time.Duration) int {
	sum := t.own
	for from, n := range t.notices {
		if now.Sub(n.receivedAt) > maxAge {
			delete(t.notices, from)
			continue
		}
		sum += n.online
	}
	return sum
}

// noticeQueue holds the targets whose feeders must get a notice. A notice for the
// start of a call is urgent, because the feeder may have to revoke items. A notice
// for the end of a call may wait, so that one message covers several calls.
type noticeQueue struct {
	settings Settings
	urgent   map[protocol.TargetID]bool
	delayed  map[protocol.TargetID]bool
	// delayedSentAt is when the delayed notices were last sent. repeatedAt is
	// when the notices for targets with online calls of this instance were last
	// repeated, and allSentAt when those for all targets were.
	delayedSentAt time.Time
	repeatedAt    time.Time
	allSentAt     time.Time
}

func newNoticeQueue(settings Settings) *noticeQueue {
	return &noticeQueue{
		settings: settings,
		urgent:   map[protocol.TargetID]bool{},
		delayed:  map[protocol.TargetID]bool{},
	}
}

// takeDue removes the targets whose notices are due from the queue and returns
// them, sorted by ID.
func (q *noticeQueue) takeDue(now time.Time, byTarget map[protocol.TargetID]*traffic) []protocol.TargetID {
	if now.Sub(q.repeatedAt) >= q.settings.RepeatNoticeInterval {
		q.repeatedAt = now
		all := now.Sub(q.allSentAt) >= q.settings.FullNoticeInterval
		if all {
			q.allSentAt = now
		}
		for id, t := range byTarget {
			if all || t.own > 0 {
				q.delayed[id] = true
			}
		}
	}
	var ids []protocol.TargetID
	for id := range q.urgent {
		ids = append(ids, id)
	}
	if now.Sub(q.delayedSentAt) >= q.settings.EndNoticeInterval {
		q.delayedSentAt = now
		for id := range q.delayed {
			if !q.urgent[id] {
				ids = append(ids, id)
			}
		}
		clear(q.delayed)
	}
	clear(q.urgent)
	slices.Sort(ids)
	return ids
}

// OnlineStarted counts an online call of this instance when it is routed. It
// returns the slots to revoke if this instance feeds the target.
func (c *Core) OnlineStarted(now time.Time, target protocol.TargetID) []SlotID {
	c.trafficOf(target).own++
	c.noticeQueue.urgent[target] = true
	return c.onlineStarted(now, target)
}

// OnlineEnded counts the end of an online call of this instance.
func (c *Core) OnlineEnded(target protocol.TargetID) {
	t := c.trafficOf(target)
	t.own--
	if t.own < 0 {
		panic("headroom: more online calls ended than started")
	}
	c.noticeQueue.delayed[target] = true
}

// ApplyNotice records the online calls of another instance and returns the slots
// to revoke.
func (c *Core) ApplyNotice(now time.Time, from protocol.InstanceID, counts []TargetCount) []SlotID {
	var revoked []SlotID
	for _, count := range counts {
		t := c.trafficOf(count.Target)
		if t.notices == nil {
			t.notices = map[protocol.InstanceID]notice{}
		}
		before := t.notices[from].online
		t.notices[from] = notice{online: max(0, count.Count), receivedAt: now}
		if count.Count > before {
			revoked = append(revoked, c.onlineStarted(now, count.Target)...)
		} else {
			revoked = append(revoked, c.updateTargetWindow(now, count.Target)...)
		}
	}
	return revoked
}

// PlacedItems returns the number of batch items at those of the given targets
// that this instance feeds. The given counts are ignored.
func (c *Core) PlacedItems(targets []TargetCount) []TargetCount {
	var placed []TargetCount
	for _, t := range targets {
		if w, ok := c.windows[t.Target]; ok {
			placed = append(placed, TargetCount{Target: t.Target, Count: len(w.items)})
		}
	}
	return placed
}

// RecordPeerBatchItems records the batch items that a feeder reported.
func (c *Core) RecordPeerBatchItems(now time.Time, placed []TargetCount) {
	for _, p := range placed {
		c.trafficOf(p.Target).peerBatchItems.record(now, max(0, p.Count))
	}
}

// PeerBatchItems returns the number of batch items that the target's feeder had
// there at a given time, as far as this instance knows. It is 0 if this instance
// feeds the target. The time is a parameter because load reports lag, so a report
// must be compared with the items of the time for which it is valid.
func (c *Core) PeerBatchItems(id protocol.TargetID, at time.Time) int {
	if _, fed := c.windows[id]; fed {
		return 0
	}
	if t, ok := c.trafficByTarget[id]; ok {
		return t.peerBatchItems.countAt(at)
	}
	return 0
}

// DueNotices returns the notices to send now, by feeder. Each holds the numbers of
// this instance's online calls.
func (c *Core) DueNotices(now time.Time, feeders map[protocol.TargetID]protocol.InstanceID, self protocol.InstanceID) map[protocol.InstanceID][]TargetCount {
	var out map[protocol.InstanceID][]TargetCount
	for _, id := range c.noticeQueue.takeDue(now, c.trafficByTarget) {
		feeder := feeders[id]
		if feeder == "" || feeder == self {
			continue
		}
		if out == nil {
			out = map[protocol.InstanceID][]TargetCount{}
		}
		out[feeder] = append(out[feeder], TargetCount{Target: id, Count: c.trafficOf(id).own})
	}
	return out
}

// trafficOf returns the traffic of a target and creates it if necessary.
func (c *Core) trafficOf(id protocol.TargetID) *traffic {
	t, ok := c.trafficByTarget[id]
	if !ok {
		t = &traffic{}
		c.trafficByTarget[id] = t
	}
	return t
}

// SyncTargets creates the traffic of new targets and deletes that of targets that
// no longer exist, unless this instance still has online calls there.
func (c *Core) SyncTargets(targets []Target) {
	exists := make(map[protocol.TargetID]bool, len(targets))
	for _, t := range targets {
		exists[t.ID] = true
	}
	for id, t := range c.trafficByTarget {
		if !exists[id] && t.own == 0 {
			delete(c.trafficByTarget, id)
		}
	}
	for id := range exists {
		c.trafficOf(id)
	}
}
