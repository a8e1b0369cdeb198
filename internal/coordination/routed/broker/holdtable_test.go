package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// newTestTable returns a table of the given number of targets with two slots each.
func newTestTable(targets int) *HoldTable {
	core := placement.New(placement.Options{Domain: "d", Random: rand.New(rand.NewPCG(1, 1))})
	table := NewHoldTable(core)
	var list []roster.Target
	for i := range targets {
		list = append(list, roster.Target{
			ID: fmt.Sprint("t", i), Service: "s", Domain: "d", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 2,
		})
	}
	table.SetTargets(list)
	return table
}

func online() placement.Requirements { return placement.Requirements{Service: "s"} }

func item() placement.Requirements { return placement.Requirements{Service: "s", Batch: true} }

func TestEachSlotIsGrantedOnce(t *testing.T) {
	table := newTestTable(3)
	grants := map[string]int{}
	for n := range uint64(6) {
		grant, yielding, ok := table.Place(start, fmt.Sprint("n", n%2), Hold{Number: n}, online())
		require.True(t, ok)
		require.Nil(t, yielding)
		grants[grant.Target.ID]++
	}
	require.Equal(t, map[string]int{"t0": 2, "t1": 2, "t2": 2}, grants)
	_, _, ok := table.Place(start, "n0", Hold{Number: 9}, online())
	require.False(t, ok)
	require.Zero(t, table.Free(start))
	table.ApplyReport(start, HoldReport{Instance: "n1", Released: []uint64{1}})
	require.Equal(t, 1, table.Free(start))
}

// All slots are taken, some by batch items. Only the item with the latest deadline yields.
func TestItemWithLatestDeadlineYields(t *testing.T) {
	table := newTestTable(1)
	for n, deadline := range []int64{5_000, 9_000} {
		_, _, ok := table.Place(start, "n0", Hold{Number: uint64(n), Due: deadline}, item())
		require.True(t, ok)
	}
	_, _, ok := table.Place(start, "n0", Hold{Number: 7}, item())
	require.False(t, ok, "items do not preempt each other")
	_, yielding, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.EqualValues(t, 1, yielding.Number)
	require.Zero(t, table.Free(start))
	table.ApplyReport(start, HoldReport{Instance: "n0", Released: []uint64{1}})
	require.Zero(t, table.Free(start), "its slot already counted as free when it was asked to yield")
	_, yielding, ok = table.Place(start, "n1", Hold{Number: 2}, online())
	require.True(t, ok)
	require.EqualValues(t, 0, yielding.Number)
	_, _, ok = table.Place(start, "n1", Hold{Number: 3}, online())
	require.False(t, ok)
}

// Guards against a new broker that grants occupied slots a second time. It starts without holds
// and learns them from the reports of the instances.
func TestNewBrokerLearnsHoldsFromReports(t *testing.T) {
	table := newTestTable(1)
	table.ApplyReport(start, HoldReport{Instance: "n0", Start: 1, Whole: true, Held: []Hold{{Number: 4, Target: "t0"}, {Number: 5, Target: "t0", Batch: true}}})
	require.Zero(t, table.Free(start))
	_, yielding, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.EqualValues(t, 5, yielding.Number)
}

// An instance sends a full report while a grant is in flight to it. The granted slot must not
// be granted a second time.
func TestGrantInFlightIsKept(t *testing.T) {
	table := newTestTable(1)
	_, _, ok := table.Place(start, "n0", Hold{Number: 1}, online())
	require.True(t, ok)
	table.ApplyReport(after(100*time.Millisecond), HoldReport{Instance: "n0", Whole: true})
	require.Equal(t, 1, table.Free(start))
	table.ApplyReport(after(time.Second), HoldReport{Instance: "n0", Whole: true})
	require.Equal(t, 2, table.Free(start), "the release was lost")
}

// An instance terminates, restarts or becomes silent. Its slots must be freed. Otherwise the
// fleet loses capacity with each terminated instance.
func TestSlotsOfTerminatedInstanceAreFreed(t *testing.T) {
	for name, end := range map[string]func(*HoldTable){
		"refused connections": func(table *HoldTable) { table.InstanceDown("n0") },
		"silent":              func(table *HoldTable) { table.Expire(after(3 * time.Second)) },
		"restarted":           func(table *HoldTable) { table.ApplyReport(start, HoldReport{Instance: "n0", Start: 2, Whole: true}) },
	} {
		table := newTestTable(1)
		table.ApplyReport(start, HoldReport{Instance: "n0", Start: 1})
		_, _, ok := table.Place(start, "n0", Hold{Number: 1}, online())
		require.True(t, ok, name)
		end(table)
		require.Equal(t, 2, table.Free(after(3*time.Second)), name)
		table.ApplyReport(after(3*time.Second), HoldReport{Instance: "n0", Start: 1, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}}})
		if name == "restarted" {
			require.Equal(t, 2, table.Free(after(3*time.Second)), "a message of the previous incarnation arrived late")
		}
	}
}

// An instance is isolated. Its items continue to run at the target, and no instance can ask
// them to yield. If their slots were granted again, requests would wait in the target's queue
// for as long as items take.
func TestItemsOfSilentInstanceKeepTheirSlots(t *testing.T) {
	table := newTestTable(1)
	table.ApplyReport(start, HoldReport{Instance: "isolated", Start: 1})
	for n := range uint64(2) {
		_, _, ok := table.Place(start, "isolated", Hold{Number: n, Lasts: 5 * time.Second}, item())
		require.True(t, ok)
	}
	_, yielding, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.Equal(t, "isolated", yielding.instance)
	table.ApplyReport(start, HoldReport{Instance: "n1", Start: 1, Released: []uint64{1}})
	require.Equal(t, 1, table.Free(start), "the item was asked to yield")

	table.InstanceSilent(after(500*time.Millisecond), "isolated")
	require.Zero(t, table.Free(after(500*time.Millisecond)), "the request to yield may not have arrived")
	_, _, ok = table.Place(after(time.Second), "n1", Hold{Number: 2}, online())
	require.False(t, ok)
	table.Expire(after(4 * time.Second))
	require.Zero(t, table.Free(after(4*time.Second)), "its items still run")
	table.Expire(after(5100 * time.Millisecond))
	require.Equal(t, 2, table.Free(after(5100*time.Millisecond)))
}

// The instance was only briefly silent. Its items can be asked to yield again.
func TestItemsOfReachableInstanceYieldAgain(t *testing.T) {
	table := newTestTable(1)
	var holds []Hold
	for n := range uint64(2) {
		grant, _, ok := table.Place(start, "n0", Hold{Number: n, Lasts: 5 * time.Second}, item())
		require.True(t, ok)
		holds = append(holds, Hold{Number: n, Target: grant.Target.ID, Batch: true})
	}
	table.InstanceSilent(start, "n0")
	_, _, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.False(t, ok)
	table.ApplyReport(start, HoldReport{Instance: "n0", Whole: true, Held: holds})
	_, yielding, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.NotNil(t, yielding)
	require.Zero(t, table.Free(start))
}

// The target finishes the items of a silent instance before their longest runtime, as its next
// load report shows. Their slots must be freed then. Otherwise they stay idle while requests
// wait.
func TestLoadReportFreesPinnedSlots(t *testing.T) {
	table := newTestTable(1)
	table.ApplyReport(start, HoldReport{Instance: "isolated", Start: 1})
	_, _, ok := table.Place(start, "isolated", Hold{Number: 1, Lasts: time.Minute}, item())
	require.True(t, ok)
	table.InstanceSilent(start, "isolated")
	grant, _, ok := table.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.Equal(t, 1, grant.Unsure, "a non-zero count makes the client forward the target's load report")
	later := after(time.Second)
	table.ApplyLoad(later, "t0", exchange.Load{Running: 2, Slots: 2})
	require.Zero(t, table.Free(later))
	table.ApplyLoad(later, "t0", exchange.Load{Running: 1, Slots: 2})
	require.Equal(t, 1, table.Free(later))
}

// The wall clock of an instance jumps back and its process restarts, so the new incarnation has
// the smaller start. If its reports were ignored, its holds would not be counted, and the holds
// of the previous incarnation would occupy slots until they expire.
func TestIncarnationWithEarlierStartIsAccepted(t *testing.T) {
	table := newTestTable(1)
	table.ApplyReport(start, HoldReport{Instance: "n0", Start: 9, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}, {Number: 2, Target: "t0"}}})
	require.Zero(t, table.Free(start))
	table.ApplyReport(start, HoldReport{Instance: "n0", Start: 5, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}}})
	require.Equal(t, 1, table.Free(start))
	table.ApplyReport(start, HoldReport{Instance: "n0", Start: 9, Whole: true, Held: []Hold{{Number: 7, Target: "t0"}}})
	require.Equal(t, 1, table.Free(start), "a late message of the previous incarnation")
}
