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
	require.Equal(t, 38*time.Millisecond, took)
}
