package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
)

// Each case guards against an item that waits for nothing, misses its latest start, or is started
// only to be preempted.
func TestStartOfItemsByForecast(t *testing.T) {
	const period = 6 * time.Second
	for name, c := range map[string]struct {
		fits   int
		laxity time.Duration
		want   startDecision
	}{
		"room until its end":             {fits: 51, laxity: time.Hour, want: startFits},
		"room until just before its end": {fits: 50, laxity: time.Hour, want: startHeld},
		"time for another trough":        {fits: 40, laxity: 13 * time.Second, want: startHeld},
		"no time for another trough":     {fits: 40, laxity: 10 * time.Second, want: startCheap},
		"a run that is not worth it":     {fits: 10, laxity: 10 * time.Second, want: startHeld},
		"little time, and a short run":   {fits: 10, laxity: 5 * time.Second, want: startCheap},
		"latest start":                   {fits: 0, laxity: latestStartReserve, want: startLatest},
		"late":                           {fits: 0, laxity: -time.Second, want: startLatest},
	} {
		require.Equal(t, c.want, decideStart(c.fits, 50, c.laxity, period), name)
	}
}

// swingAllocator returns an allocator of some slots that has seen a swing of online demand, and
// the time at which a trough has begun 0.5 s ago.
func swingAllocator(t *testing.T, slots int) (*SlotAllocator, time.Time) {
	a := newTestAllocator(slots)
	a.UseForecast()
	number := uint64(0)
	var held []uint64
	now := start
	for range 486 {
		want := 6
		if now.Sub(start)%(6*time.Second) >= 3600*time.Millisecond {
			want = 30
		}
		for len(held) < want {
			number++
			require.Len(t, enqueue(a, now, number*3, false), 1)
			held = append(held, number*3)
		}
		// One more ends, so that requests arrive at each sample.
		a.ApplyReport(now, HoldReport{Instance: "n0", Released: held[want-1:]})
		held = held[:want-1]
		a.Allocate(now)
		now = now.Add(sampleInterval)
	}
	require.True(t, a.troughs.forecasts["s"].known())
	return a, now
}

// askFor adds an item to the queue and returns whether it started.
func askFor(a *SlotAllocator, now time.Time, number uint64, needs, laxity time.Duration) bool {
	a.Enqueue(now, &PlaceRequest{
		Told: HoldReport{Instance: "n0"}, Number: number, OnTimeIn: laxity, Due: int64(number),
		Want: placement.Requirements{Service: "s", Batch: true}, Needs: needs,
	})
	return len(a.Allocate(now)) == 1
}

// Guards against items that start in a trough and lose their slots at the peak, and against a
// trough that stays unused.
func TestItemsInTroughLeaveSlotsForPeak(t *testing.T) {
	a, now := swingAllocator(t, 40)
	started := 0
	for n := range uint64(40) {
		if askFor(a, now, 10_000+n, 5*time.Second, time.Hour) {
			started++
		}
	}
	require.InDelta(t, 9, started, 3, "40 slots, of which online requests will need 30")
	short := 0
	for n := range uint64(40) {
		if askFor(a, now, 20_000+n, 2*time.Second, time.Hour) {
			short++
		}
	}
	require.Greater(t, short, 10, "items that end before the peak get the others, behind those that wait")
	require.True(t, askFor(a, now, 30_000, 5*time.Second, latestStartReserve), "its latest start has come")
	_, free := a.core.Slots(now, "s")
	require.Positive(t, free)
}

// Guards against preempting the item that loses most, or that then misses its deadline, only since
// its deadline is the latest.
func TestItemThatLosesLeastYields(t *testing.T) {
	holds := []Hold{
		{Number: 1, Target: "t0", Batch: true, Due: 9_000, Needs: 300 * time.Millisecond, Laxity: time.Minute},
		{Number: 2, Target: "t0", Batch: true, Due: 1_000, Needs: 4 * time.Second, Laxity: time.Minute},
	}
	for name, c := range map[string]struct {
		change func()
		want   uint64
	}{
		"most of its run left":     {func() {}, 2},
		"no time to wait":          {func() { holds[1].Laxity = -time.Second }, 1},
		"its output is not stored": {func() { holds[1].Laxity, holds[1].Unstored = time.Minute, 4*time.Second }, 1},
	} {
		if name == "most of its run left" {
			holds[1].Laxity, holds[1].Unstored = time.Minute, 0
		} else {
			c.change()
		}
		table := newTestTable(1)
		table.yieldsByCost, table.yieldWait = true, func(string) time.Duration { return time.Second }
		table.ApplyReport(start, HoldReport{Instance: "n0", Whole: true, Held: holds})
		_, yielding, ok := table.Place(start, "n1", Hold{Number: 7}, online())
		require.True(t, ok)
		require.Equal(t, c.want, yielding.Number, name)
		holds[1].Laxity, holds[1].Unstored = time.Minute, 0
	}
}

// Guards against a successor that waits for a forecast it does not have, or preempts blindly: it
// starts items as before, and knows from the reports of the instances how long items still need.
func TestSuccessorKnowsItemsFromReports(t *testing.T) {
	a := newTestAllocator(4)
	a.UseForecast()
	a.ApplyReport(start, HoldReport{Instance: "n0", Whole: true, Held: []Hold{
		{Number: 1, Target: "t", Batch: true, Needs: time.Second, Laxity: time.Minute},
		{Number: 2, Target: "t", Batch: true, Lasts: 6 * time.Second, Due: after(time.Minute).UnixMilli()},
	}})
	a.ApplyReport(after(400*time.Millisecond), HoldReport{Instance: "n0", Whole: true, Held: []Hold{
		{Number: 1, Target: "t", Batch: true, Needs: 700 * time.Millisecond, Laxity: time.Minute},
		{Number: 2, Target: "t", Batch: true, Lasts: 6 * time.Second, Due: after(time.Minute).UnixMilli()},
	}})
	now := after(time.Second)
	require.Equal(t, 100*time.Millisecond, a.holds[holdKey{"n0", 1}].remaining(now))
	require.Equal(t, 3*time.Second, a.holds[holdKey{"n0", 2}].remaining(now), "an earlier release does not say it")
	require.False(t, askFor(a, now, 3, 5*time.Second, time.Hour), "other instances may hold the slot")
	require.Len(t, a.Allocate(now.Add(learnHolds)), 1)
}

// allocations runs an allocator with random requests, items and releases, and returns what it
// decided.
func allocations(seed uint64, a *SlotAllocator, describe func(*PlaceRequest, *rand.Rand)) (out []string) {
	random, details := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var held []Yield
	for n := range uint64(3000) {
		now := after(time.Duration(n) * 10 * time.Millisecond)
		if random.IntN(2) == 0 && len(held) > 0 {
			i := random.IntN(len(held))
			a.ApplyReport(now, HoldReport{Instance: held[i].Instance, Released: []uint64{held[i].Number}})
			held = append(held[:i], held[i+1:]...)
		} else {
			req := &PlaceRequest{
				Told: HoldReport{Instance: fmt.Sprint("n", n%3)}, Number: n, OnTimeIn: time.Duration(random.IntN(9000)) * time.Millisecond,
				Due: int64(random.IntN(100)), Want: placement.Requirements{Service: "s", Batch: random.IntN(2) == 0}, Lasts: 6 * time.Second,
			}
			describe(req, details)
			a.Enqueue(now, req)
		}
		for _, granted := range a.Allocate(now) {
			held = append(held, Yield{Instance: granted.Waiter.instance, Number: granted.Grant.Number})
			out = append(out, fmt.Sprint(n, granted.Grant.Number, granted.Grant.Target.ID, granted.MustYield, granted.Yield))
		}
	}
	return out
}

// Guards against decisions that change although the setting is off: what instances of this release
// say of items must have no effect then.
func TestWithoutForecastEveryDecisionIsAsBefore(t *testing.T) {
	for seed := range uint64(5) {
		before := allocations(seed, newTestAllocator(20), func(*PlaceRequest, *rand.Rand) {})
		require.Greater(t, len(before), 500)
		require.Equal(t, before, allocations(seed, newTestAllocator(20), func(req *PlaceRequest, random *rand.Rand) {
			if req.Want.Batch {
				req.Needs, req.Unstored = time.Duration(random.IntN(5000))*time.Millisecond, time.Duration(random.IntN(1000))*time.Millisecond
			}
		}))
	}
}

// Guards against a message of this release that an earlier one can't read, and against a missing
// field that is read as something else than "as before".
func TestEarlierReleaseIgnoresProgressOfItems(t *testing.T) {
	type earlierHold struct {
		Number uint64
		Target string
		Batch  bool
		Due    int64
		Lasts  time.Duration
		Run    string
	}
	var earlier earlierHold
	reencode(t, &Hold{Number: 1, Target: "t", Batch: true, Due: 5, Lasts: time.Second, Needs: 3, Laxity: 4, Unstored: 5}, &earlier)
	require.Equal(t, earlierHold{Number: 1, Target: "t", Batch: true, Due: 5, Lasts: time.Second}, earlier)
	var hold Hold
	reencode(t, &earlier, &hold)
	require.Zero(t, hold.Needs)
	var reply PlaceReply
	reencode(t, &earlierReply{Free: 3}, &reply)
	require.Zero(t, reply.Held)
}
