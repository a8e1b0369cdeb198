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

// newTestBook is a book of some targets with two slots each.
func newTestBook(targets int) *Book {
	core := placement.New(placement.Options{Domain: "d", Random: rand.New(rand.NewPCG(1, 1))})
	b := NewBook(core)
	var list []roster.Target
	for i := range targets {
		list = append(list, roster.Target{
			ID: fmt.Sprint("t", i), Service: "s", Domain: "d", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 2,
		})
	}
	b.SetTargets(list)
	return b
}

func online() placement.Requirements { return placement.Requirements{Service: "s"} }

func item() placement.Requirements { return placement.Requirements{Service: "s", Batch: true} }

func TestEachSlotIsGivenOnce(t *testing.T) {
	b := newTestBook(3)
	at := map[string]int{}
	for n := range uint64(6) {
		grant, yields, ok := b.Place(start, fmt.Sprint("n", n%2), Hold{Number: n}, online())
		require.True(t, ok)
		require.Nil(t, yields)
		at[grant.Target.ID]++
	}
	require.Equal(t, map[string]int{"t0": 2, "t1": 2, "t2": 2}, at)
	_, _, ok := b.Place(start, "n0", Hold{Number: 9}, online())
	require.False(t, ok)
	require.Zero(t, b.Free(start))
	b.ApplyReport(start, HoldReport{Instance: "n1", Released: []uint64{1}})
	require.Equal(t, 1, b.Free(start))
}

// All slots are taken, some by batch items. The one that is due last gives way,
// and only one.
func TestItemThatIsDueLastGivesWay(t *testing.T) {
	b := newTestBook(1)
	for n, due := range []int64{5_000, 9_000} {
		_, _, ok := b.Place(start, "n0", Hold{Number: uint64(n), Due: due}, item())
		require.True(t, ok)
	}
	_, _, ok := b.Place(start, "n0", Hold{Number: 7}, item())
	require.False(t, ok, "items wait for each other")
	_, yields, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.EqualValues(t, 1, yields.Number)
	require.Zero(t, b.Free(start))
	b.ApplyReport(start, HoldReport{Instance: "n0", Released: []uint64{1}})
	require.Zero(t, b.Free(start), "its slot was counted as free once already")
	_, yields, ok = b.Place(start, "n1", Hold{Number: 2}, online())
	require.True(t, ok)
	require.EqualValues(t, 0, yields.Number)
	_, _, ok = b.Place(start, "n1", Hold{Number: 3}, online())
	require.False(t, ok)
}

// The broker was replaced. The new one knows of nothing and would give every slot
// away a second time; it learns what is held from those who hold it.
func TestNewBrokerLearnsWhatIsHeld(t *testing.T) {
	b := newTestBook(1)
	b.ApplyReport(start, HoldReport{Instance: "n0", Start: 1, Whole: true, Held: []Hold{{Number: 4, Target: "t0"}, {Number: 5, Target: "t0", Batch: true}}})
	require.Zero(t, b.Free(start))
	_, yields, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.EqualValues(t, 5, yields.Number)
}

// A grant is on its way to an instance when that tells what it holds. Its slot
// must not be given away a second time.
func TestGrantOnItsWayIsKept(t *testing.T) {
	b := newTestBook(1)
	_, _, ok := b.Place(start, "n0", Hold{Number: 1}, online())
	require.True(t, ok)
	b.ApplyReport(after(100*time.Millisecond), HoldReport{Instance: "n0", Whole: true})
	require.Equal(t, 1, b.Free(start))
	b.ApplyReport(after(time.Second), HoldReport{Instance: "n0", Whole: true})
	require.Equal(t, 2, b.Free(start), "its release was lost")
}

// An instance dies, or starts again, or is not heard any more. Its slots must come
// back, or the fleet shrinks with each death.
func TestSlotsOfAnInstanceThatIsGoneComeBack(t *testing.T) {
	for name, end := range map[string]func(*Book){
		"refused connections": func(b *Book) { b.Gone("n0") },
		"silent":              func(b *Book) { b.Expire(after(3 * time.Second)) },
		"started again":       func(b *Book) { b.ApplyReport(start, HoldReport{Instance: "n0", Start: 2, Whole: true}) },
	} {
		b := newTestBook(1)
		b.ApplyReport(start, HoldReport{Instance: "n0", Start: 1})
		_, _, ok := b.Place(start, "n0", Hold{Number: 1}, online())
		require.True(t, ok, name)
		end(b)
		require.Equal(t, 2, b.Free(after(3*time.Second)), name)
		b.ApplyReport(after(3*time.Second), HoldReport{Instance: "n0", Start: 1, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}}})
		if name == "started again" {
			require.Equal(t, 2, b.Free(after(3*time.Second)), "a message of an old life came late")
		}
	}
}

// An instance is cut off. Its items go on running at the target, which can't be
// told, and nobody can ask them to give way. Given away a second time, their slots
// would bring requests into the target's queue for as long as items take.
func TestItemsOfASilentInstanceKeepTheirSlots(t *testing.T) {
	b := newTestBook(1)
	b.ApplyReport(start, HoldReport{Instance: "cut", Start: 1})
	for n := range uint64(2) {
		_, _, ok := b.Place(start, "cut", Hold{Number: n, Lasts: 5 * time.Second}, item())
		require.True(t, ok)
	}
	_, yields, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.Equal(t, "cut", yields.instance)
	b.ApplyReport(start, HoldReport{Instance: "n1", Start: 1, Released: []uint64{1}})
	require.Equal(t, 1, b.Free(start), "it was asked to give way")

	b.Silent(after(500*time.Millisecond), "cut")
	require.Zero(t, b.Free(after(500*time.Millisecond)), "it may not have heard that")
	_, _, ok = b.Place(after(time.Second), "n1", Hold{Number: 2}, online())
	require.False(t, ok)
	b.Expire(after(4 * time.Second))
	require.Zero(t, b.Free(after(4*time.Second)), "its items still run")
	b.Expire(after(5100 * time.Millisecond))
	require.Equal(t, 2, b.Free(after(5100*time.Millisecond)))
}

// The instance was only silent for a moment. Its items give way again as before.
func TestItemsOfAnInstanceThatIsHeardAgainGiveWay(t *testing.T) {
	b := newTestBook(1)
	var held []Hold
	for n := range uint64(2) {
		grant, _, ok := b.Place(start, "n0", Hold{Number: n, Lasts: 5 * time.Second}, item())
		require.True(t, ok)
		held = append(held, Hold{Number: n, Target: grant.Target.ID, Batch: true})
	}
	b.Silent(start, "n0")
	_, _, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.False(t, ok)
	b.ApplyReport(start, HoldReport{Instance: "n0", Whole: true, Held: held})
	_, yields, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.NotNil(t, yields)
	require.Zero(t, b.Free(start))
}

// The target is done with the items of a silent instance sooner than they might have
// taken, and says so with its next answer. Kept for longer, their slots would be
// idle while requests wait.
func TestTargetSaysThatStuckItemsHaveEnded(t *testing.T) {
	b := newTestBook(1)
	b.ApplyReport(start, HoldReport{Instance: "cut", Start: 1})
	_, _, ok := b.Place(start, "cut", Hold{Number: 1, Lasts: time.Minute}, item())
	require.True(t, ok)
	b.Silent(start, "cut")
	grant, _, ok := b.Place(start, "n1", Hold{Number: 1}, online())
	require.True(t, ok)
	require.Equal(t, 1, grant.Unsure, "whoever goes there is asked to tell what the target says")
	later := after(time.Second)
	b.Loaded(later, "t0", exchange.Load{Running: 2, Slots: 2})
	require.Zero(t, b.Free(later))
	b.Loaded(later, "t0", exchange.Load{Running: 1, Slots: 2})
	require.Equal(t, 1, b.Free(later))
}

// The wall clock of an instance jumps back, and its process is restarted: the new life has
// the smaller start. Were it not heard, what it holds would not count, and what the dead
// one held would block slots until it is forgotten.
func TestLifeAfterAClockJumpedBackIsHeard(t *testing.T) {
	b := newTestBook(1)
	b.ApplyReport(start, HoldReport{Instance: "n0", Start: 9, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}, {Number: 2, Target: "t0"}}})
	require.Zero(t, b.Free(start))
	b.ApplyReport(start, HoldReport{Instance: "n0", Start: 5, Whole: true, Held: []Hold{{Number: 1, Target: "t0"}}})
	require.Equal(t, 1, b.Free(start))
	b.ApplyReport(start, HoldReport{Instance: "n0", Start: 9, Whole: true, Held: []Hold{{Number: 7, Target: "t0"}}})
	require.Equal(t, 1, b.Free(start), "a late message of the life that ended")
}
