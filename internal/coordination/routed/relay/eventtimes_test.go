package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/pace"
)

// Guards against a target that counts as slow, or as fast, because a caller reads slowly: while the
// caller does not read, events wait unread, and then several are read at once.
func TestTimesAreNotObservedWhileCallerDoesNotRead(t *testing.T) {
	start := time.Unix(1_000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	times := eventTimes{sentAt: start}
	kind, took := times.received(after(75))
	require.Equal(t, pace.FirstEvent, kind)
	require.Equal(t, 75*time.Millisecond, took)
	times.deliveredAt = after(76)
	kind, took = times.received(after(112))
	require.Equal(t, pace.EventGap, kind)
	require.Equal(t, 37*time.Millisecond, took)
	times.deliveredAt = after(500)
	_, took = times.received(after(501))
	require.Zero(t, took, "the event was written slowly")
	_, took = times.received(after(502))
	require.Zero(t, took, "the last event was not delivered")
	times.deliveredAt = after(503)
	_, took = times.received(after(540))
	require.Zero(t, took, "the last event had arrived at an unknown time before it was read")
	times.deliveredAt = after(541)
	_, took = times.received(after(577))
	require.Equal(t, 37*time.Millisecond, took)
}

// Guards against a pace near 0 after a slow delivery or a late read: the events that arrived
// meanwhile are read within microseconds.
func TestTimesAreNotObservedWhileEventsAreWaiting(t *testing.T) {
	for _, slowDelivery := range []bool{true, false} {
		now := time.Unix(1_000, 0)
		times := eventTimes{sentAt: now}
		receive := func(wait, delivery time.Duration) time.Duration {
			now = now.Add(wait)
			_, took := times.received(now)
			now = now.Add(delivery)
			times.deliveredAt = now
			return took
		}
		receive(75*time.Millisecond, 0)
		if slowDelivery {
			receive(37*time.Millisecond, 400*time.Millisecond)
		} else {
			receive(400*time.Millisecond, 0)
		}
		for range 10 {
			require.Zero(t, receive(20*time.Microsecond, 10*time.Microsecond))
		}
		require.Zero(t, receive(10*time.Millisecond, 0), "the event before was read late")
		require.Equal(t, 37*time.Millisecond, receive(37*time.Millisecond, 0))
	}
}
