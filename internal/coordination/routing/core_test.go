package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

const (
	service = protocol.ServiceName("dispecer-lm")
	here    = protocol.Domain("ploiesti")
	there   = protocol.Domain("bucuresti-s4")
)

var start = time.Unix(1_000_000, 0)

func listed(n int, domain protocol.Domain) []external.ListedTarget {
	var out []external.ListedTarget
	for i := range n {
		id := protocol.TargetID(fmt.Sprintf("%s-%02d", domain, i))
		out = append(out, external.ListedTarget{ID: id, Service: service, Domain: domain, Address: "127.0.0.1:" + fmt.Sprint(7000+i)})
	}
	return out
}

func newTestCore(opts Options, targets ...external.ListedTarget) *Core {
	opts.Domain = here
	opts.Seed = 1
	core := NewCore(opts)
	core.SetServices(map[protocol.ServiceName]protocol.Service{service: {Name: service, Slots: 4}})
	core.ApplyListing(start, external.Listing{Targets: targets})
	return core
}

// picks makes n picks that stay in flight and counts them by target.
func picks(t require.TestingT, core *Core, now time.Time, n int) map[protocol.TargetID]int {
	out := map[protocol.TargetID]int{}
	for range n {
		choice, ok := core.Pick(now, coordination.PickRequest{Service: service})
		require.True(t, ok)
		out[choice.Target]++
	}
	return out
}

func TestPicksSpreadEvenly(t *testing.T) {
	core := newTestCore(Options{}, listed(10, here)...)
	for id, n := range picks(t, core, start, 40) {
		require.InDelta(t, 4, n, 2, id)
	}
}

func TestOwnDomainFirstAndSpillWhenFull(t *testing.T) {
	core := newTestCore(Options{}, append(listed(2, here), listed(2, there)...)...)
	for id := range picks(t, core, start, 8) {
		require.Contains(t, string(id), string(here))
	}
	spilled := false
	for id := range picks(t, core, start, 8) {
		spilled = spilled || id[:4] == protocol.TargetID(there[:4])
	}
	require.True(t, spilled)
}

func TestReportsOfOthersCount(t *testing.T) {
	core := newTestCore(Options{}, listed(2, here)...)
	busy := listed(2, here)[0].ID
	core.ApplyReport(start, external.Load{Target: busy, Running: 3})
	core.ApplyReport(start, external.Load{Target: listed(2, here)[1].ID})
	require.Zero(t, picks(t, core, start, 3)[busy])
}

// A report that counts this instance's own calls must not count them twice:
// the target would look twice as busy and get too little.
func TestOwnCallsAreTakenOutOfReports(t *testing.T) {
	core := newTestCore(Options{}, listed(1, here)...)
	picks(t, core, start, 3)
	later := start.Add(time.Second)
	core.ApplyReport(later, external.Load{Target: listed(1, here)[0].ID, Running: 5, AgeMS: 500})
	require.InDelta(t, 2, core.Targets(later)[0].PeerStreams, 0.01, "5 running, 3 of them own")
}

// A target says itself that it is leaving, before the list does. It gets no
// new work from then on, and not again when a lagging list calls it live.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	targets := listed(2, here)
	core := newTestCore(Options{}, targets...)
	choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
	core.Done(start, choice, coordination.CallResult{Leaving: true})
	core.ApplyListing(start.Add(time.Second), external.Listing{Targets: targets})
	require.Zero(t, picks(t, core, start.Add(2*time.Second), 20)[choice.Target])
}

func TestListedLeavingTargetGetsNoNewWork(t *testing.T) {
	targets := listed(2, here)
	core := newTestCore(Options{}, targets...)
	targets[0].Leaving = true
	core.ApplyListing(start, external.Listing{Targets: targets})
	require.Zero(t, picks(t, core, start, 20)[targets[0].ID])
	targets[1].Leaving = true
	core.ApplyListing(start, external.Listing{Targets: targets})
	_, ok := core.Pick(start, coordination.PickRequest{Service: service})
	require.False(t, ok, "all are leaving")
}

// The platform's list comes back empty after a fault of the platform. The
// targets are all alive; an instance that believed the list would refuse all.
func TestEmptyListKeepsTheLastTargets(t *testing.T) {
	core := newTestCore(Options{}, listed(3, here)...)
	core.ApplyListing(start, external.Listing{})
	picks(t, core, start, 3)
}

func TestTargetOffTheListIsForgottenAfterItsCalls(t *testing.T) {
	targets := listed(2, here)
	core := newTestCore(Options{}, targets...)
	var kept []Choice
	for range 4 {
		choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
		kept = append(kept, choice)
	}
	core.ApplyListing(start, external.Listing{Targets: targets[:1]})
	require.Len(t, core.Targets(start), 2)
	for _, choice := range kept {
		core.Done(start, choice, coordination.CallResult{})
	}
	core.ApplyListing(start, external.Listing{Targets: targets[:1]})
	require.Len(t, core.Targets(start), 1)
}

// failAll lets every call to a target fail and the others go well.
func failAll(core *Core, now time.Time, dead map[protocol.TargetID]bool, calls int) int {
	hits := 0
	for range calls {
		choice, ok := core.Pick(now, coordination.PickRequest{Service: service})
		if !ok {
			return hits
		}
		if dead[choice.Target] {
			hits++
		}
		core.Done(now, choice, coordination.CallResult{Failed: dead[choice.Target], FirstByte: 10 * time.Millisecond})
	}
	return hits
}

// A target dies and refuses every call at once, so it always looks idle. After
// a few failures it gets no calls until its ejection ends; then one call tells
// whether it is back.
func TestDeadTargetIsEjected(t *testing.T) {
	targets := listed(4, here)
	core := newTestCore(Options{}, targets...)
	dead := map[protocol.TargetID]bool{targets[1].ID: true}
	require.Equal(t, 3, failAll(core, start, dead, 200))
	require.Zero(t, failAll(core, start.Add(time.Second), dead, 200))
	require.Equal(t, 1, failAll(core, start.Add(3*time.Second), dead, 200), "one call after its return")
	require.Positive(t, picks(t, core, start.Add(time.Hour), 40)[targets[1].ID], "it comes back")
}

// Every target fails, as when a faulty model version is loaded. At most a part
// may be ejected: the rest would be overrun, and nothing would be left to
// recover with.
func TestEjectionsLeaveAPartOfThePool(t *testing.T) {
	targets := listed(10, here)
	core := newTestCore(Options{}, targets...)
	dead := map[protocol.TargetID]bool{}
	for _, one := range targets {
		dead[one.ID] = true
	}
	failAll(core, start, dead, 1000)
	ejected := 0
	for _, one := range core.Targets(start) {
		if one.Ejected {
			ejected++
		}
	}
	require.Equal(t, 5, ejected)
}

// A target answers, but many times slower than the others. Its callers wait;
// it is ejected although nothing fails.
func TestSlowTargetIsEjected(t *testing.T) {
	targets := listed(4, here)
	core := newTestCore(Options{}, targets...)
	slow := targets[2].ID
	for range 400 {
		choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
		firstByte := 50 * time.Millisecond
		if choice.Target == slow {
			firstByte = time.Second
		}
		core.Done(start, choice, coordination.CallResult{FirstByte: firstByte})
	}
	for _, one := range core.Targets(start) {
		require.Equal(t, one.Target == slow, one.Ejected, one.Target)
	}
}

// A caller leaves or a batch item is revoked again and again. That says nothing
// of the target, which stays in use.
func TestAbandonedCallsEjectNobody(t *testing.T) {
	core := newTestCore(Options{}, listed(2, here)...)
	for range 50 {
		choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
		core.Done(start, choice, coordination.CallResult{Abandoned: true})
	}
	for _, one := range core.Targets(start) {
		require.False(t, one.Ejected)
	}
}

func TestPrefixKeepsItsTargetUntilItIsFull(t *testing.T) {
	targets := listed(8, here)
	core := newTestCore(Options{AffinityMargin: 1}, targets...)
	for _, one := range targets {
		core.ApplyReport(start, external.Load{Target: one.ID})
	}
	req := coordination.PickRequest{Service: service, Prefix: 42}
	first, _ := core.Pick(start, req)
	core.Done(start, first, coordination.CallResult{})
	again, _ := core.Pick(start, req)
	require.Equal(t, first.Target, again.Target)
	seen := map[protocol.TargetID]bool{}
	for range 30 {
		choice, _ := core.Pick(start, req)
		seen[choice.Target] = true
	}
	require.Greater(t, len(seen), 3, "a popular prefix must not overload one target")
}

// No load report has come for a while. Each of hundreds of instances sees
// hardly a call of its own at the target of a popular prefix, and all together
// they would overrun it; so the prefix draws no calls then.
func TestPrefixDrawsNoCallsWithoutReports(t *testing.T) {
	targets := listed(8, here)
	core := newTestCore(Options{AffinityMargin: 1}, targets...)
	for _, one := range targets {
		core.ApplyReport(start, external.Load{Target: one.ID})
	}
	seen := map[protocol.TargetID]bool{}
	late := start.Add(time.Minute)
	for range 50 {
		choice, _ := core.Pick(late, coordination.PickRequest{Service: service, Prefix: 42})
		core.Done(late, choice, coordination.CallResult{})
		seen[choice.Target] = true
	}
	require.Greater(t, len(seen), 3)
}

func TestExcludedTargetsAreNotPicked(t *testing.T) {
	targets := listed(3, here)
	core := newTestCore(Options{}, targets...)
	exclude := []protocol.TargetID{targets[0].ID, targets[2].ID}
	for range 10 {
		choice, ok := core.Pick(start, coordination.PickRequest{Service: service, Exclude: exclude})
		require.True(t, ok)
		require.Equal(t, targets[1].ID, choice.Target)
	}
	_, ok := core.Pick(start, coordination.PickRequest{Service: service, Exclude: append(exclude, targets[1].ID)})
	require.False(t, ok)
}

// TestCoreInvariants lets lists, reports, picks and ends come in any order and
// checks after each step that nothing is counted wrongly, no leaving target is
// picked and ejections stay within their share.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(listed(6, here), listed(6, there)...)
		core := newTestCore(Options{}, all...)
		now := start
		var open []Choice
		leaving := map[protocol.TargetID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"pick": func(t *rapid.T) {
				choice, ok := core.Pick(now, coordination.PickRequest{Service: service, Batch: rapid.Bool().Draw(t, "batch")})
				if !ok {
					return
				}
				require.False(t, leaving[choice.Target], "picked a leaving target")
				open = append(open, choice)
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				result := coordination.CallResult{Failed: rapid.Bool().Draw(t, "failed"), FirstByte: time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond}
				core.Done(now, open[0], result)
				open = open[1:]
			},
			"list": func(t *rapid.T) {
				some := append([]external.ListedTarget(nil), all[:rapid.IntRange(0, len(all)).Draw(t, "n")]...)
				leaving = map[protocol.TargetID]bool{}
				if len(some) > 0 {
					i := rapid.IntRange(0, len(some)-1).Draw(t, "leaving")
					some[i].Leaving = true
					leaving[some[i].ID] = true
				}
				core.ApplyListing(now, external.Listing{Targets: some})
				if len(some) == 0 {
					for _, one := range core.Targets(now) {
						leaving[one.Target] = one.Leaving
					}
				}
			},
			"report": func(t *rapid.T) {
				core.ApplyReport(now, external.Load{Target: all[rapid.IntRange(0, len(all)-1).Draw(t, "i")].ID, Running: rapid.IntRange(0, 50).Draw(t, "running"), AgeMS: int64(rapid.IntRange(0, 3000).Draw(t, "age"))})
			},
			"": func(t *rapid.T) { checkCore(t, core, now, len(open)) },
		})
	})
}

func checkCore(t *rapid.T, core *Core, now time.Time, open int) {
	counted := 0
	ejected := 0
	targets := core.Targets(now)
	for _, one := range targets {
		require.GreaterOrEqual(t, one.Online, 0)
		require.GreaterOrEqual(t, one.Batch, 0)
		require.GreaterOrEqual(t, one.PeerStreams, 0.0)
		counted += one.Online + one.Batch
		if one.Ejected {
			ejected++
		}
	}
	require.Equal(t, open, counted)
	require.LessOrEqual(t, ejected, 6)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 850} {
		for _, affinity := range []float64{0, 0.5} {
			b.Run(fmt.Sprintf("targets=%d/affinity=%g", n, affinity), func(b *testing.B) {
				core := newTestCore(Options{AffinityMargin: affinity}, append(listed(n/4+1, here), listed(n-n/4-1, there)...)...)
				now := start
				for id := range core.targets {
					core.ApplyReport(now, external.Load{Target: id})
				}
				var prefix uint64
				for b.Loop() {
					prefix++
					now = now.Add(time.Microsecond)
					choice, _ := core.Pick(now, coordination.PickRequest{Service: service, Prefix: prefix})
					core.Done(now, choice, coordination.CallResult{FirstByte: time.Millisecond})
				}
			})
		}
	}
}
