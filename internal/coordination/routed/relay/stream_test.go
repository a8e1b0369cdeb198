package relay

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// Guards against an answer that goes on at a target of another software version, also if the
// one that chooses the target ignores the version.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{truncatedAfter(3), streamOf(3, 6)}, versions: []string{"v1", "v2", "v1"}}
		outcome, received, _ := serve(t, resumableRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, events(0, 6), received.body.String())
		require.Equal(t, []string{"v1"}, f.requirements[1].Versions)
		require.Equal(t, []placement.Result{placement.Broken, placement.Cancelled, placement.Served}, f.results)
		require.Equal(t, origin.Origin{Version: "v1", Source: origin.Answer}, outcome.Origin)
	})
}

// Guards against a stream that can't be taken up at another instance, because its caller had
// an event before its version was recorded.
func TestVersionIsRecordedBeforeFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{streamOf(0, 3)}}
		serve(t, resumableRoute, f)
		require.True(t, f.beganUnseen)
		require.Equal(t, "v1", f.origins["r"].Version)
	})
}

// Guards against records of streams that nobody may take up.
func TestStreamThatMayNotBeTakenUpIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{streamOf(0, 3)}}
		outcome, _, _ := serve(t, atMostOnceRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Empty(t, f.origins)
		require.Equal(t, "v1", outcome.Origin.Version, "the line of the request names it")
	})
}

// Guards against a requirement that no event justifies: until the first one, a request may run
// at any version.
func TestRequestWithoutEventRunsAtAnyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{connectionLost, streamOf(0, 3)}, versions: []string{"v1", "v2"}}
		outcome, _, _ := serve(t, resumableRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, "v2", f.origins["r"].Version)
		require.Len(t, f.origins, 1)
	})
}

// Guards against a stream that goes on anywhere because an instance of an earlier release
// listed its target without a version.
func TestStreamOfUnknownVersionIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{truncatedAfter(3)}, versions: []string{""}}
		outcome, received, _ := serve(t, resumableRoute, f)
		require.Equal(t, Truncated, outcome.Reason)
		require.Equal(t, events(0, 3), received.body.String())
		require.Empty(t, f.origins)
	})
}

// Guards against the target that the stall monitor reserved before the stream began.
func TestReservedTargetOfOtherVersionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{reserved: &roster.Target{ID: "x", Version: "v2"}}
		c := &call{Relay: New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine()}), RoutedRequest: &RoutedRequest{Route: &resumableRoute, Request: &exchange.Request{}, Organisation: "one", Weight: 4}}
		monitor := c.monitorStalls(t.Context(), placement.Choice{})
		monitor.onTimeout()
		require.Equal(t, placement.WaitLimits{Organisation: "one", Weight: 4}, f.reservedFor, "the slot is charged to the organisation")
		c.streamBegins(placement.Choice{Target: roster.Target{ID: "t0", Version: "v1"}}, monitor)
		c.failover = monitor.stop()
		require.NotNil(t, c.failover)
		choice, ok := c.nextTarget(t.Context())
		require.True(t, ok)
		require.Equal(t, "v1", choice.Version)
		require.Equal(t, []placement.Result{placement.Cancelled}, f.results)
	})
}

// Guards against a request to a target that has left after the stall monitor reserved it, while the request waited.
func TestReservedTargetThatLeftIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{left: "x"}
		c := &call{Relay: New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine()}), RoutedRequest: &RoutedRequest{Route: &resumableRoute, Request: &exchange.Request{}}}
		c.failover = &placement.Choice{Target: roster.Target{ID: "x", Version: "v1"}}
		choice, ok := c.nextTarget(t.Context())
		require.True(t, ok)
		require.NotEqual(t, "x", choice.ID)
		require.Equal(t, []placement.Result{placement.Cancelled}, f.results, "its slot is released")
	})
}

// takesUp returns a request that takes up a stream after its event 2.
func takesUp(stream string) *exchange.Request {
	return &exchange.Request{ID: "r2", Method: http.MethodPost, After: 2, Resumes: stream}
}

// Guards against a caller's retry that goes on at another version than the one that began the
// stream.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{streamOf(3, 6)}, versions: []string{"v2", "v1"}}
		f.Began("s", "r", "v1")
		outcome, received, _ := serveRequest(t, resumableRoute, f, takesUp("r"))
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, events(3, 6), received.body.String())
		require.Equal(t, []string{"v1"}, f.requirements[0].Versions)
		require.Equal(t, 2, f.sent[0].After)
		require.Equal(t, origin.Own, outcome.Origin.Source)
	})
}

// Guards against a guess, and against a caller that waits in vain: a stream whose version is
// not known or has left is rejected at once, as not run and without a time to come back.
func TestStreamThatCanGoOnNowhereIsRejectedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		gone   bool
		reason Reason
	}{
		"unknown": {"other", false, VersionUnknown},
		"unnamed": {"", false, VersionUnknown},
		"gone":    {"r", true, VersionGone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{noTargets: c.gone}
				f.Began("s", "r", "v1")
				outcome, received, elapsed := serveRequest(t, resumableRoute, f, takesUp(c.stream))
				require.Equal(t, c.reason, outcome.Reason)
				require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
				require.Zero(t, outcome.RetryAfter)
				require.Zero(t, elapsed)
				require.Zero(t, outcome.PossibleRuns)
				require.Empty(t, received.body.String())
			})
		})
	}
}
