package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

func newPaceCore(domains, each int) *Core {
	c := newTestCore(domains, each)
	c.SetPaceMaxAge(time.Second)
	return c
}

// pickWithoutPace is the ranking as it was before paces: the load, the failure domain and the kept
// connection, with the same random numbers.
func pickWithoutPace(c *Core, now time.Time, req Requirements, random *rand.Rand) string {
	best, least := "", 0.0
	for _, id := range c.ids {
		t := c.targets[id]
		if !req.matches(t) || slices.Contains(req.Exclude, id) || !trusted(now, t, req) {
			continue
		}
		busy := t.busy(now)
		cost := 0.01 * random.Float64()
		if t.Domain != "d0" {
			cost += 0.25
		}
		if !slices.Contains(req.Connected, id) {
			cost += 0.13
		}
		cost += float64(busy) / float64(t.slots)
		if req.Batch && busy >= t.slots {
			continue
		}
		if busy >= t.slots {
			cost += 10
		}
		if busy-t.batchCount() >= t.slots {
			continue
		}
		if best == "" || cost < least {
			best, least = id, cost
		}
	}
	return best
}

// Guards against another ranking for the earlier deployments, whose targets report no pace: with
// the part on or off, the choices must be those of the formula before it. The same holds while the
// part is off and targets report paces, and after all paces have aged out.
func TestServicesWithoutPaceAreRankedAsBefore(t *testing.T) {
	cases := map[string]struct {
		maxAge time.Duration
		pace   int
		// idle is the time since the last reports.
		idle time.Duration
	}{
		"no pace reported":  {maxAge: time.Second},
		"off":               {pace: 250},
		"paces aged out":    {maxAge: time.Second, pace: 250, idle: time.Minute},
		"all have the same": {maxAge: time.Second, pace: 250},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := newTestCore(3, 5)
			core.SetPaceMaxAge(c.maxAge)
			for i, id := range core.ids {
				load := exchange.Load{Slots: 8, Pace: c.pace}
				if c.idle > 0 {
					load.Pace = 60 + 40*i
				}
				core.ApplyLoad(start, id, load)
			}
			// Reports of unaccounted requests have expired, those of paces have not.
			now := after(c.idle + 400*time.Millisecond)
			source := rand.New(rand.NewPCG(5, 6))
			reference, decisions := rand.NewPCG(1, 2), rand.NewPCG(1, 2)
			core.opts.Random = rand.New(decisions)
			var held []Choice
			for range 3000 {
				req := Requirements{Service: "s", Batch: source.IntN(3) == 0}
				for _, id := range core.ids {
					if source.IntN(3) == 0 {
						req.Connected = append(req.Connected, id)
					}
				}
				want := pickWithoutPace(core, now, req, rand.New(reference))
				choice, ok := core.Pick(now, req)
				require.Equal(t, want, choice.ID)
				require.Empty(t, choice.MovedFrom)
				if ok {
					held = append(held, choice)
				}
				for len(held) > 0 && source.IntN(100) < 49 {
					at := source.IntN(len(held))
					core.Done(now, held[at], Served)
					held = slices.Delete(held, at, at+1)
				}
			}
			require.NotEmpty(t, held)
		})
	}
}

func reportPaces(c *Core, now time.Time, paces map[string]int) {
	for id, percent := range paces {
		c.ApplyLoad(now, id, exchange.Load{Slots: 8, Pace: percent})
	}
}

// Guards against requests that all go to the fastest target until its next report, and against
// slow targets that never get any.
func TestRequestsSpreadByPaceAndSlots(t *testing.T) {
	c := newPaceCore(1, 3)
	reportPaces(c, start, map[string]int{"t0-0": 60, "t0-1": 100, "t0-2": 160})
	seen := map[string]int{}
	for range 16 {
		choice := pick(t, c, after(150*time.Millisecond), Requirements{})
		seen[choice.ID]++
		require.Equal(t, pace.Reported, choice.Pace.Source)
		require.Equal(t, 150*time.Millisecond, choice.Pace.Age)
	}
	require.Equal(t, 8, seen["t0-0"])
	require.GreaterOrEqual(t, seen["t0-1"], 5)
	require.Positive(t, seen["t0-2"])
	for range 8 {
		pick(t, c, after(150*time.Millisecond), Requirements{})
	}
	_, ok := c.Pick(after(150*time.Millisecond), Requirements{Service: "s"})
	require.False(t, ok, "all targets are full")
}

// Guards against full targets that are preferred since they are fast: an online request would
// preempt a batch item although slots are free.
func TestFullTargetsStayLast(t *testing.T) {
	c := newPaceCore(1, 2)
	for range 8 {
		_, ok := c.Acquire(start, "t0-0", true)
		require.True(t, ok)
	}
	reportPaces(c, start, map[string]int{"t0-0": 1, "t0-1": 10_000})
	for range 8 {
		require.Equal(t, "t0-1", pick(t, c, start, Requirements{}).ID)
	}
	choice := pick(t, c, start, Requirements{})
	require.Equal(t, "t0-0", choice.ID)
	require.True(t, choice.MustPreempt)
}

// Guards against paces that take the advantage from the own failure domain and kept connections:
// it stays what it was between targets with the same pace.
func TestLocalityKeepsItsAdvantage(t *testing.T) {
	c := newPaceCore(2, 2)
	reportPaces(c, start, map[string]int{"t0-0": 100, "t0-1": 200, "t1-0": 100, "t1-1": 200})
	require.Equal(t, "t0-0", pick(t, c, start, Requirements{}).ID)
	require.Equal(t, "t1-1", pick(t, c, start, Requirements{Domain: "d1", Exclude: []string{"t1-0"}}).ID)
	c = newPaceCore(1, 2)
	reportPaces(c, start, map[string]int{"t0-0": 100, "t0-1": 100})
	require.Equal(t, "t0-1", pick(t, c, start, Requirements{Connected: []string{"t0-1"}}).ID)
}

// Guards against a moved request whose reason nobody can tell afterwards.
func TestMovedChoiceNamesItsAlternative(t *testing.T) {
	c := newPaceCore(1, 2)
	_, _ = c.Acquire(start, "t0-0", false)
	reportPaces(c, start, map[string]int{"t0-0": 60, "t0-1": 250})
	choice := pick(t, c, start, Requirements{})
	require.Equal(t, "t0-0", choice.ID)
	require.Equal(t, "t0-1", choice.MovedFrom)
	require.InDelta(t, 250, choice.MovedFromPace.Percent, 1)
	require.InDelta(t, 60, choice.Pace.Percent, 1)
}

// Guards against batch items that take the slots of the fast targets: an item takes much longer
// than a slow phase.
func TestBatchItemsAreRankedWithoutPace(t *testing.T) {
	c := newPaceCore(1, 2)
	_, _ = c.Acquire(start, "t0-0", false)
	reportPaces(c, start, map[string]int{"t0-0": 60, "t0-1": 250})
	require.Equal(t, "t0-1", pick(t, c, start, Requirements{Batch: true}).ID)
}

// Guards against the pace of a process that is gone.
func TestPaceOfReplacedProcessIsForgotten(t *testing.T) {
	c := newPaceCore(1, 2)
	reportPaces(c, start, map[string]int{"t0-0": 60, "t0-1": 160})
	require.Equal(t, pace.Reported, c.Pace(start, "t0-0").Source)
	first, second := c.targets["t0-0"].Target, c.targets["t0-1"].Target
	first.Started = 5
	c.SetTargets([]roster.Target{first, second})
	require.Equal(t, pace.ServiceMean, c.Pace(after(200*time.Millisecond), "t0-0").Source)
	require.Equal(t, pace.Reported, c.Pace(after(200*time.Millisecond), "t0-1").Source)
	require.Equal(t, pace.Estimate{}, c.Pace(start, "unlisted"))
}
