package operatorapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/burn"
	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fleetstatus"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

func get[T any](t *testing.T, f *fixture, path string) T {
	t.Helper()
	w := f.call("GET", path, operatorSecret, "")
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	var out T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out))
	return out
}

func apply(t *testing.T, state *replica.State, at protocol.Offset, rec protocol.Record) {
	t.Helper()
	require.Equal(t, []protocol.Verdict{protocol.Accepted}, state.Apply(at, protocol.Frame{Records: []protocol.Record{rec}}))
}

// One instance is isolated and another has not loaded the newest configuration. The
// status must show both, so that an operator can check whether a change is in force
// everywhere.
func TestStatusReportsOutdatedAndUnreachableInstances(t *testing.T) {
	f := newFixture(accepted(1))
	f.peers.unreachable["c"] = true
	status := get[fleetstatus.Status](t, f, PathStatus)
	require.Equal(t, []fleetstatus.Unreached{{Instance: "c"}}, status.Unreached)
	require.Len(t, status.Instances, 2)
	require.Equal(t, protocol.Offset(9), status.NewestVersion())
	require.Equal(t, protocol.Offset(8), status.Instances[1].Version)
	require.EqualValues(t, 60, status.Instances[0].UpSeconds)
}

func TestStatusListsLateJobs(t *testing.T) {
	f := newFixture(accepted(1))
	open := protocol.Record{ID: protocol.RecordID{Session: 7, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "a", Domain: "d1"}}
	apply(t, f.journal.state, 0, open)
	for i, deadline := range []time.Time{fixedTime().Add(-time.Minute), fixedTime().Add(3 * time.Hour)} {
		apply(t, f.journal.state, protocol.Offset(i+1), protocol.Record{
			ID: protocol.RecordID{Session: 7, Seq: uint64(i + 2)},
			JobSubmit: &protocol.JobSubmit{
				Job: protocol.JobID(fmt.Sprint("job", i)), Organisation: "ana", IdempotencyKey: fmt.Sprint(i), Endpoint: "/v1/completions",
				Chunks: []protocol.ChunkRef{{Items: 3}}, Deadline: deadline,
			},
		})
	}
	// An instance with a session counts even if no heartbeat of it was received.
	apply(t, f.journal.state, 3, protocol.Record{ID: protocol.RecordID{Session: 8, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "never-heard"}})
	status := get[fleetstatus.Status](t, f, PathStatus)
	require.Equal(t, []fleetstatus.Unreached{{Instance: "never-heard", SessionOpen: true}}, status.Unreached)
	require.Equal(t, 2, status.JobsRunning)
	require.Len(t, status.Late, 1)
	require.Equal(t, protocol.JobID("job0"), status.Late[0].Job)
	require.Equal(t, 3, status.Late[0].ItemsLeft)
	instances := get[InstancesAnswer](t, f, PathInstances)
	require.Len(t, instances.Instances, 4)
}

func TestHistoryShowsNewestFirst(t *testing.T) {
	f := newFixture(accepted(1))
	apply(t, f.journal.state, 0, protocol.Record{ID: protocol.RecordID{Session: 7, Seq: 1}, SessionOpen: &protocol.SessionOpen{Instance: "a", Domain: "d1"}})
	for i := range 2 {
		apply(t, f.journal.state, protocol.Offset(i+1), protocol.Record{ID: protocol.RecordID{Session: 7, Seq: uint64(i + 2)},
			FleetChange: &protocol.FleetChange{ChangeID: fmt.Sprint("c", i), BasedOn: protocol.Offset(2*i - 1), Operator: "ana",
				Set: []protocol.FleetObject{{Domain: &protocol.DomainShare{Domain: "d", Share: float64(i + 1)}}}}})
	}
	history := get[HistoryAnswer](t, f, PathHistory)
	require.Equal(t, "c1", history.Changes[0].ChangeID)
	require.Len(t, history.Changes, 2)
	// The response to a repeated change has the version that the change created.
	f.journal.outcome = coordination.Outcome{Verdict: protocol.Duplicate, Run: protocol.Completed}
	w := f.call("POST", PathChanges, operatorSecret, strings.Replace(smallChange, "c1", "c0", 1))
	var answer ChangeAnswer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	require.Equal(t, protocol.Offset(1), answer.Version)
}

func TestTargetsBurnAndDrain(t *testing.T) {
	f := newFixture(accepted(1))
	require.Len(t, get[TargetsAnswer](t, f, PathTargets).Targets, 1)
	report := get[burn.Report](t, f, PathBurn+"?organisation=ana")
	require.NotEmpty(t, report.Lines)
	require.Equal(t, http.StatusAccepted, f.call("POST", PathDrain, operatorSecret, "").Code)
	require.Equal(t, 1, *f.drained)
	require.Equal(t, http.StatusNotFound, f.call("GET", "/operator/v1/nothing", operatorSecret, "").Code)
}
