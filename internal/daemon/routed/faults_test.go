package routed

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// newFaultyFleet starts a fleet whose targets misbehave. The prefix of a request's id
// selects the fault. Only the first run of an id misbehaves.
func newFaultyFleet(t *testing.T, faults map[string]engine.Fault) *testFleet {
	t.Helper()
	var mu sync.Mutex
	misbehaved := map[string]bool{}
	return newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 3, engine: engine.Options{
		Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
		FaultFor: func(id string) engine.Fault {
			name, _, _ := strings.Cut(id, "-")
			mu.Lock()
			defer mu.Unlock()
			if misbehaved[id] {
				return engine.Fault{}
			}
			misbehaved[id] = true
			return faults[name]
		},
	}})
}

// A target runs a request, but its response is lost, ends early, never ends or is a
// failure. A second run could charge the caller twice. So a non-idempotent request must
// get an error or a visibly truncated stream, and no response that says "not run".
func TestFaultyResponsesToNonIdempotentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFaultyFleet(t, map[string]engine.Fault{
			"lost": {LoseAnswer: true}, "broken": {BreakAfter: 4}, "hanging": {HangAfter: 4},
			"failed": {Status: http.StatusInternalServerError},
		})
		for _, c := range []struct {
			id     string
			status int
			cut    bool
		}{
			{"lost-1", http.StatusBadGateway, false},
			{"broken-1", http.StatusOK, true},
			{"hanging-1", http.StatusOK, true},
			{"failed-1", http.StatusInternalServerError, false},
		} {
			got := fleet.instances[0].send(callerRequest{id: c.id, path: "/once/" + c.id + "/10", key: keyOne})
			require.Equal(t, c.status, got.status, c.id)
			require.Equal(t, c.cut, got.err != nil, "%s: %v", c.id, got.err)
			if c.cut {
				require.True(t, strings.HasPrefix(streamBody(c.id, 10), got.body), c.id)
				require.NotEqual(t, streamBody(c.id, 10), got.body, c.id)
			}
			require.Len(t, fleet.runsOf(c.id), 1, c.id)
		}
	})
}

// The same faults hit requests that can resume at another target. Their callers must
// get one complete stream with each event once and in order.
func TestFaultyResponsesToResumableRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFaultyFleet(t, map[string]engine.Fault{
			"lost": {LoseAnswer: true}, "broken": {BreakAfter: 4}, "hanging": {HangAfter: 4},
		})
		for _, id := range []string{"lost-1", "broken-1", "hanging-1"} {
			got := fleet.instances[1].send(callerRequest{id: id, path: "/again/" + id + "/30", key: keyOne})
			require.NoError(t, got.err, id)
			require.Equal(t, http.StatusOK, got.status, id)
			require.Equal(t, streamBody(id, 30), got.body, id)
			require.Len(t, fleet.runsOf(id), 2, id)
			require.Less(t, got.took, 2500*time.Millisecond, id)
		}
	})
}

// A target first sends the late response to another request, or sends a response that is
// delimited only by the end of the connection. The caller must get its own response in
// full, and no caller may receive the bytes of the other one.
func TestCrossedAndUnframedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFaultyFleet(t, map[string]engine.Fault{"crossed": {Crossed: true}, "unframed": {Unframed: true}})
		for _, id := range []string{"crossed-1", "unframed-1"} {
			got := fleet.instances[0].send(callerRequest{id: id, path: "/once/" + id + "/10", key: keyOne})
			require.NoError(t, got.err, id)
			require.Equal(t, streamBody(id, 10), got.body, id)
			require.Equal(t, "seal-"+id, got.header.Get("Response-Seal"), id)
			require.Len(t, fleet.runsOf(id), 1, id)
		}
	})
}

// Guards against answers without length or chunks that count as complete although their target ended
// them early: the caller of a request would get an empty or shortened stream that looks whole, and an
// item a shortened result.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := map[string]engine.Fault{
			"whole": {Unframed: true}, "within": {Unframed: true, BreakAfter: 3}, "empty": {Unframed: true, NoEvent: true},
		}
		fleet := newFaultyFleet(t, faults)
		for name := range faults {
			id := name + "-1"
			got := fleet.instances[0].send(callerRequest{id: id, path: "/again/a/10", key: keyOne})
			require.NoError(t, got.err, id)
			require.Equal(t, streamBody(id, 10), got.body, id)
			id = name + "-2"
			got = fleet.instances[0].send(callerRequest{id: id, path: "/once/a/10", key: keyOne})
			switch name {
			case "whole":
				require.NoError(t, got.err, id)
				require.Equal(t, streamBody(id, 10), got.body, id)
			case "within":
				require.Error(t, got.err, id)
				require.Equal(t, streamBody(id, 3), got.body, id)
			case "empty":
				require.Equal(t, http.StatusBadGateway, got.status, id)
			}
			job := name + "-job"
			require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob(job, 4, 10)).status)
			fleet.requireComplete(job, fleet.instances[0].allResults(job, 10*time.Second), 10)
		}
	})
}
