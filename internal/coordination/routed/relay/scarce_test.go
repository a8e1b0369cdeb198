package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
)

// scarcePlacer rejects all requests after some placements, and records the limits.
type scarcePlacer struct {
	*scriptedFleet
	placements int
	state      placement.QueueState
	limits     []placement.WaitLimits
}

func (p *scarcePlacer) Place(ctx context.Context, want placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	p.limits = append(p.limits, limits)
	if len(p.limits) <= p.placements {
		return p.scriptedFleet.Place(ctx, want, limits)
	}
	return placement.Choice{Queue: p.state}, false
}

func serveScarce(t *testing.T, p *scarcePlacer, id string) Outcome {
	t.Helper()
	r, now := atMostOnceRoute, time.Now()
	relay := New(Options{Targets: p.scriptedFleet, Placer: p, Origins: p.scriptedFleet, Quarantine: p.quarantine(), Logger: log.NewNopLogger()})
	return relay.Serve(t.Context(), &RoutedRequest{
		Request: &exchange.Request{ID: id, Method: http.MethodPost, After: exchange.FromStart}, Route: &r, Service: "s",
		Organisation: "one", Weight: 4, ReceivedAt: now, Deadline: now.Add(requestTime),
	}, &caller{})
}

// Guards against rejected callers that return before there is room, or all at once.
func TestRejectedRequestIsToldWhenRoomIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 600 * time.Millisecond
		state := placement.QueueState{Rejected: true, RoomIn: room, Ahead: 40, FreedPerSecond: 80, Fair: true, OverShare: true}
		different := map[time.Duration]bool{}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			p := &scarcePlacer{scriptedFleet: &scriptedFleet{}, state: state}
			outcome := serveScarce(t, p, id)
			require.Equal(t, AllFull, outcome.Reason)
			require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
			require.GreaterOrEqual(t, outcome.RetryAfter, room)
			require.LessOrEqual(t, outcome.RetryAfter, room*3/2)
			require.Equal(t, state, outcome.Queue)
			require.Contains(t, outcome.QueueFields(), "over_share")
			different[outcome.RetryAfter] = true
		}
		require.Len(t, different, 5)
		outcome := serveScarce(t, &scarcePlacer{scriptedFleet: &scriptedFleet{}}, "a")
		require.Equal(t, fullRetryAfter, outcome.RetryAfter, "no broker says when")
		require.Empty(t, outcome.QueueFields())
	})
}

// Guards against a rejection after a quarter of the latency objective, and against that of a request
// that was sent to a target before.
func TestOnlyFirstAttemptMayBeRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &scarcePlacer{scriptedFleet: &scriptedFleet{script: []scriptedAnswer{unreachable}}, placements: 1}
		began := time.Now()
		outcome := serveScarce(t, p, "r")
		require.Equal(t, NotAccepted, outcome.Reason)
		require.Len(t, p.limits, 2)
		require.Equal(t, "one", p.limits[0].Organisation)
		require.InDelta(t, 4, p.limits[0].Weight, 0)
		require.Equal(t, began.Add(atMostOnceRoute.LatencyObjective/4-rejectMargin), p.limits[0].RejectBy)
		require.Zero(t, p.limits[1].RejectBy)
	})
}
