package relay

import (
	"time"

	"merlintiller/internal/coordination/routed/pace"
)

// maxDelivery is the longest time for which an event may be written to the caller without making
// the time until the next event useless as an observation of the target: while the caller does not
// read, events of the target wait unread.
const maxDelivery = 5 * time.Millisecond

// eventTimes measures the times between the events of one exchange. It is not safe for concurrent
// use.
type eventTimes struct {
	// sentAt is when the request was sent, receivedAt when the last event arrived, and
	// deliveredAt when that event was written to the caller.
	sentAt, receivedAt, deliveredAt time.Time
}

// received records an event and returns how long the target took for it, 0 if that is not known.
func (t *eventTimes) received(now time.Time) (kind pace.Kind, took time.Duration) {
	last, delivery := t.receivedAt, t.deliveredAt.Sub(t.receivedAt)
	t.receivedAt = now
	switch {
	case last.IsZero():
		return pace.FirstEvent, now.Sub(t.sentAt)
	case delivery < 0 || delivery > maxDelivery:
		return pace.EventGap, 0
	default:
		return pace.EventGap, now.Sub(last)
	}
}
