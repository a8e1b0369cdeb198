package relay

import (
	"time"

	"merlintiller/internal/coordination/routed/pace"
)

// maxDelivery is the longest time for which an event may be written to the caller without making
// the time until the next event useless as an observation of the target: while the caller does not
// read, events of the target wait unread.
const maxDelivery = 5 * time.Millisecond

// minWait is the shortest wait after which an event counts as not having been there before. Events
// that have arrived are read within microseconds, and those that a full connection held back follow
// after a round trip between failure domains. The fastest targets take 20 ms for an event.
const minWait = 2 * time.Millisecond

// eventTimes measures the times between the events of one exchange. It is not safe for concurrent
// use.
type eventTimes struct {
	// sentAt is when the request was sent, receivedAt when the last event arrived, and
	// deliveredAt when that event was written to the caller.
	sentAt, receivedAt, deliveredAt time.Time
	// behind is set while the last event may have waited unread, so that it is not known when
	// it arrived.
	behind bool
}

// received records an event and returns how long the target took for it, 0 if that is not known.
func (t *eventTimes) received(now time.Time) (kind pace.Kind, took time.Duration) {
	last, delivery, waited := t.receivedAt, t.deliveredAt.Sub(t.receivedAt), now.Sub(t.deliveredAt)
	t.receivedAt = now
	if last.IsZero() {
		return pace.FirstEvent, now.Sub(t.sentAt)
	}
	wasBehind := t.behind
	t.behind = delivery < 0 || delivery > maxDelivery || waited < minWait
	// The first gap that had to wait for the target is too short as well: it began when the
	// event before it arrived, not when that was read.
	if wasBehind || t.behind {
		return pace.EventGap, 0
	}
	return pace.EventGap, now.Sub(last)
}
