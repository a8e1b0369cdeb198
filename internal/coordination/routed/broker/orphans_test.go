package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// holdItem gives an instance a slot at the only target that is free.
func holdItem(t *testing.T, b *Book, instance string, number uint64, run string) Hold {
	t.Helper()
	grant, _, ok := b.Place(start, instance, Hold{Number: number, Lasts: 5 * time.Second}, item())
	require.True(t, ok)
	return Hold{Number: number, Target: grant.Target.ID, Batch: true, Run: run}
}

// An instance is cut off. Its items go on at their targets, to the last event, and
// nobody reads them; requests wait for their slots meanwhile.
func TestRunsOfASilentInstanceAreEnded(t *testing.T) {
	b := newTestBook(2)
	b.ApplyReport(start, HoldReport{Instance: "cut", Start: 1})
	held := []Hold{holdItem(t, b, "cut", 1, "item-1"), holdItem(t, b, "cut", 2, "item-2"), holdItem(t, b, "cut", 3, "")}
	b.ApplyReport(start, HoldReport{Instance: "cut", Start: 1, Whole: true, Held: held})
	require.Empty(t, b.Orphans(after(time.Second)), "it is heard")

	silent := after(time.Second)
	b.Silent(silent, "cut")
	require.Empty(t, b.Orphans(silent.Add(orphanAfter-time.Millisecond)), "it may only have paused")
	orphans := b.Orphans(silent.Add(orphanAfter))
	require.Len(t, orphans, 2, "those whose runs are known by name")
	for _, o := range orphans {
		require.NotEqual(t, o.Target.Address, o.By)
		require.NotEmpty(t, o.By)
	}
	require.Empty(t, b.Orphans(silent.Add(2*orphanAfter)), "each once")

	require.Equal(t, 1, b.Free(silent))
	b.Ended(orphans[0].Target.ID, orphans[0].Run)
	require.Equal(t, 2, b.Free(silent))
}

// The instance is heard again before its items are ended. They go on with it.
func TestRunsOfAnInstanceThatPausedGoOn(t *testing.T) {
	b := newTestBook(2)
	held := []Hold{holdItem(t, b, "paused", 1, "item-1")}
	b.ApplyReport(start, HoldReport{Instance: "paused", Start: 1, Whole: true, Held: held})
	b.Silent(start, "paused")
	b.ApplyReport(after(100*time.Millisecond), HoldReport{Instance: "paused", Start: 1, Whole: true, Held: held})
	require.Empty(t, b.Orphans(after(time.Minute)))
}

// A target that is the only one of its service has no other one that could take the
// memory of a run. The run is left to its end.
func TestRunAtTheOnlyTargetIsLeft(t *testing.T) {
	b := newTestBook(1)
	held := []Hold{holdItem(t, b, "cut", 1, "item-1")}
	b.ApplyReport(start, HoldReport{Instance: "cut", Start: 1, Whole: true, Held: held})
	b.Silent(start, "cut")
	require.Empty(t, b.Orphans(after(time.Minute)))
}

func TestRunsThatNoHoldNamesAreUnexplained(t *testing.T) {
	b := newTestBook(1)
	want := online()
	want.Run = "request"
	_, _, ok := b.Place(start, "n0", Hold{Number: 1}, want)
	require.True(t, ok)
	require.Empty(t, b.Unexplained("t0", []string{"request"}))
	require.Equal(t, []TargetRun{{Target: "t0", Run: "stranger"}}, b.Unexplained("t0", []string{"request", "stranger"}))
}

// Targets are asked after an instance was lost, and again only while they run what
// nobody tells of. Asked all the time, they would cost calls on calm days.
func TestTargetsAreAskedWhileTheyRunWhatNobodyTellsOf(t *testing.T) {
	s := newSweep(start)
	targets := map[string]roster.Target{"t0": {ID: "t0"}}
	require.Len(t, s.due(start, targets), 1)
	require.Empty(t, s.due(after(askAgain-time.Millisecond), targets))
	s.told("t0", []TargetRun{{Target: "t0", Run: "stranger"}})
	require.Len(t, s.due(after(askAgain), targets), 1)
	s.told("t0", nil)
	require.Empty(t, s.due(after(time.Second), targets))

	lost := after(time.Minute)
	require.Empty(t, s.due(lost, targets))
	s.begin(lost)
	require.Len(t, s.due(lost, targets), 1)
	s.told("t0", []TargetRun{{Target: "t0", Run: "stranger"}})
	require.Empty(t, s.due(lost.Add(sweepFor+time.Millisecond), targets), "whatever it is, it is no item")
}

// A failure domain has hundreds of targets. Asked all at once, they would keep the broker
// busy as callers come back.
func TestTargetsOfALargeDomainAreAskedInParts(t *testing.T) {
	s := newSweep(start)
	targets := map[string]roster.Target{}
	for i := range 2*mostAsked + 5 {
		id := fmt.Sprint("t", i)
		targets[id] = roster.Target{ID: id}
	}
	asked := map[string]bool{}
	for look := range 3 {
		due := s.due(after(time.Duration(look)*askAgain/3), targets)
		require.LessOrEqual(t, len(due), mostAsked)
		for _, target := range due {
			asked[target.ID] = true
		}
	}
	require.Len(t, asked, len(targets))
}
