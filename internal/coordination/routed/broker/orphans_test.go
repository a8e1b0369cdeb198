package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// holdItem places an item of an instance and returns its hold with the given run.
func holdItem(t *testing.T, table *HoldTable, instance string, number uint64, run string) Hold {
	t.Helper()
	grant, _, ok := table.Place(start, instance, Hold{Number: number, Lasts: 5 * time.Second}, item())
	require.True(t, ok)
	return Hold{Number: number, Target: grant.Target.ID, Batch: true, Run: run}
}

// An instance is isolated. Its items continue at their targets to the last event although no
// instance reads their output, and requests wait for the slots.
func TestRunsOfSilentInstanceAreEnded(t *testing.T) {
	table := newTestTable(2)
	table.ApplyReport(start, HoldReport{Instance: "isolated", Start: 1})
	holds := []Hold{holdItem(t, table, "isolated", 1, "item-1"), holdItem(t, table, "isolated", 2, "item-2"), holdItem(t, table, "isolated", 3, "")}
	table.ApplyReport(start, HoldReport{Instance: "isolated", Start: 1, Whole: true, Held: holds})
	require.Empty(t, table.Orphans(after(time.Second)), "the instance is reachable")

	silent := after(time.Second)
	table.InstanceSilent(silent, "isolated")
	require.Empty(t, table.Orphans(silent.Add(orphanDelay-time.Millisecond)), "the instance may only have paused")
	orphans := table.Orphans(silent.Add(orphanDelay))
	require.Len(t, orphans, 2, "the runs whose IDs are known")
	for _, o := range orphans {
		require.NotEqual(t, o.Target.Address, o.EvacuateTo)
		require.NotEmpty(t, o.EvacuateTo)
	}
	require.Empty(t, table.Orphans(silent.Add(2*orphanDelay)), "each run is returned once")

	require.Equal(t, 1, table.Free(silent))
	table.RunEnded(orphans[0].Target.ID, orphans[0].Run)
	require.Equal(t, 2, table.Free(silent))
}

// The instance is reachable again before its items are ended. They continue.
func TestRunsOfPausedInstanceContinue(t *testing.T) {
	table := newTestTable(2)
	holds := []Hold{holdItem(t, table, "paused", 1, "item-1")}
	table.ApplyReport(start, HoldReport{Instance: "paused", Start: 1, Whole: true, Held: holds})
	table.InstanceSilent(start, "paused")
	table.ApplyReport(after(100*time.Millisecond), HoldReport{Instance: "paused", Start: 1, Whole: true, Held: holds})
	require.Empty(t, table.Orphans(after(time.Minute)))
}

// If a target is the only one of its service, no other target can take the memory of a run. The
// run is not ended.
func TestRunAtOnlyTargetIsNotEnded(t *testing.T) {
	table := newTestTable(1)
	holds := []Hold{holdItem(t, table, "isolated", 1, "item-1")}
	table.ApplyReport(start, HoldReport{Instance: "isolated", Start: 1, Whole: true, Held: holds})
	table.InstanceSilent(start, "isolated")
	require.Empty(t, table.Orphans(after(time.Minute)))
}

func TestRunsWithoutHoldAreUnmatched(t *testing.T) {
	table := newTestTable(1)
	req := online()
	req.Run = "request"
	_, _, ok := table.Place(start, "n0", Hold{Number: 1}, req)
	require.True(t, ok)
	require.Empty(t, table.UnmatchedRuns("t0", []string{"request"}))
	require.Equal(t, []TargetRun{{Target: "t0", Run: "stranger"}}, table.UnmatchedRuns("t0", []string{"request", "stranger"}))
}

// Targets are queried after an instance was lost, and again only while they have unmatched
// runs. Continuous queries would cause needless calls while there are no faults.
func TestTargetsAreQueriedWhileRunsAreUnmatched(t *testing.T) {
	s := newSweepSchedule(start)
	targets := map[string]roster.Target{"t0": {ID: "t0"}}
	require.Len(t, s.due(start, targets), 1)
	require.Empty(t, s.due(after(queryInterval-time.Millisecond), targets))
	s.record("t0", []TargetRun{{Target: "t0", Run: "stranger"}})
	require.Len(t, s.due(after(queryInterval), targets), 1)
	s.record("t0", nil)
	require.Empty(t, s.due(after(time.Second), targets))

	lost := after(time.Minute)
	require.Empty(t, s.due(lost, targets))
	s.start(lost)
	require.Len(t, s.due(lost, targets), 1)
	s.record("t0", []TargetRun{{Target: "t0", Run: "stranger"}})
	require.Empty(t, s.due(lost.Add(sweepDuration+time.Millisecond), targets), "the run lasts longer than any item, so it is not an item")
}

// A failure domain has hundreds of targets. If all were queried at once, the broker would be
// busy with them while callers reconnect.
func TestTargetsOfLargeDomainAreQueriedInParts(t *testing.T) {
	s := newSweepSchedule(start)
	targets := map[string]roster.Target{}
	for i := range 2*maxQueries + 5 {
		id := fmt.Sprint("t", i)
		targets[id] = roster.Target{ID: id}
	}
	queried := map[string]bool{}
	for round := range 3 {
		due := s.due(after(time.Duration(round)*queryInterval/3), targets)
		require.LessOrEqual(t, len(due), maxQueries)
		for _, target := range due {
			queried[target.ID] = true
		}
	}
	require.Len(t, queried, len(targets))
}
