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
	service      = protocol.ServiceName("dispecer-lm")
	localDomain  = protocol.Domain("ploiesti")
	remoteDomain = protocol.Domain("bucuresti-s4")
)

var start = time.Unix(1_000_000, 0)

func listedTargets(n int, domain protocol.Domain) []external.ListedTarget {
	var out []external.ListedTarget
	for i := range n {
		id := protocol.TargetID(fmt.Sprintf("%s-%02d", domain, i))
		out = append(out, external.ListedTarget{ID: id, Service: service, Domain: domain, Address: "127.0.0.1:" + fmt.Sprint(7000+i)})
	}
	return out
}

func newTestCore(opts Options, targets ...external.ListedTarget) *Core {
	opts.Domain = localDomain
	opts.Seed = 1
	core := NewCore(opts)
	core.SetServices(map[protocol.ServiceName]protocol.Service{service: {Name: service, Slots: 4}})
	core.ApplyListing(start, external.Listing{Targets: targets})
	return core
}

// pickCounts picks n targets for calls that stay in flight, and returns the
// number of calls by target.
func pickCounts(t require.TestingT, core *Core, now time.Time, n int) map[protocol.TargetID]int {
	out := map[protocol.TargetID]int{}
	for range n {
		choice, ok := core.Pick(now, coordination.PickRequest{Service: service})
		require.True(t, ok)
		out[choice.Target]++
	}
	return out
}

func TestPicksSpreadEvenly(t *testing.T) {
	core := newTestCore(Options{}, listedTargets(10, localDomain)...)
	for id, n := range pickCounts(t, core, start, 40) {
		require.InDelta(t, 4, n, 2, id)
	}
}

func TestOwnDomainFirstAndSpillWhenFull(t *testing.T) {
	core := newTestCore(Options{}, append(listedTargets(2, localDomain), listedTargets(2, remoteDomain)...)...)
	for id := range pickCounts(t, core, start, 8) {
		require.Contains(t, string(id), string(localDomain))
	}
	spilled := false
	for id := range pickCounts(t, core, start, 8) {
		spilled = spilled || id[:4] == protocol.TargetID(remoteDomain[:4])
	}
	require.True(t, spilled)
}

func TestReportedPeerLoadIsCounted(t *testing.T) {
	core := newTestCore(Options{}, listedTargets(2, localDomain)...)
	busy := listedTargets(2, localDomain)[0].ID
	core.ApplyReport(start, external.Load{Target: busy, Running: 3})
	core.ApplyReport(start, external.Load{Target: listedTargets(2, localDomain)[1].ID})
	require.Zero(t, pickCounts(t, core, start, 3)[busy])
}

// A load report includes the calls of this instance. If they were counted twice,
// the target would look busier than it is and get too few calls.
func TestOwnCallsAreSubtractedFromReports(t *testing.T) {
	core := newTestCore(Options{}, listedTargets(1, localDomain)...)
	pickCounts(t, core, start, 3)
	later := start.Add(time.Second)
	core.ApplyReport(later, external.Load{Target: listedTargets(1, localDomain)[0].ID, Running: 5, AgeMS: 500})
	require.InDelta(t, 2, core.Targets(later)[0].PeerStreams, 0.01, "5 streams run, 3 of them from this instance")
}

// A target reports that it is leaving before the list does. It gets no new calls
// from then on, also when the next, lagging list still names it as live.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	targets := listedTargets(2, localDomain)
	core := newTestCore(Options{}, targets...)
	choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
	core.Done(start, choice, coordination.CallResult{Leaving: true})
	core.ApplyListing(start.Add(time.Second), external.Listing{Targets: targets})
	require.Zero(t, pickCounts(t, core, start.Add(2*time.Second), 20)[choice.Target])
}

func TestListedLeavingTargetGetsNoNewWork(t *testing.T) {
	targets := listedTargets(2, localDomain)
	core := newTestCore(Options{}, targets...)
	targets[0].Leaving = true
	core.ApplyListing(start, external.Listing{Targets: targets})
	require.Zero(t, pickCounts(t, core, start, 20)[targets[0].ID])
	targets[1].Leaving = true
	core.ApplyListing(start, external.Listing{Targets: targets})
	_, ok := core.Pick(start, coordination.PickRequest{Service: service})
	require.False(t, ok, "all targets are leaving")
}

// Due to a fault of the platform, its list is empty while all targets run. An
// instance that trusted the list would reject all calls.
func TestEmptyListKeepsLastTargets(t *testing.T) {
	core := newTestCore(Options{}, listedTargets(3, localDomain)...)
	core.ApplyListing(start, external.Listing{})
	pickCounts(t, core, start, 3)
}

func TestUnlistedTargetIsRemovedAfterItsCalls(t *testing.T) {
	targets := listedTargets(2, localDomain)
	core := newTestCore(Options{}, targets...)
	var inFlight []Choice
	for range 4 {
		choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
		inFlight = append(inFlight, choice)
	}
	core.ApplyListing(start, external.Listing{Targets: targets[:1]})
	require.Len(t, core.Targets(start), 2)
	for _, choice := range inFlight {
		core.Done(start, choice, coordination.CallResult{})
	}
	core.ApplyListing(start, external.Listing{Targets: targets[:1]})
	require.Len(t, core.Targets(start), 1)
}

// callWithDeadTargets makes calls that fail at the dead targets and succeed at
// the others. It returns the number of failed calls.
func callWithDeadTargets(core *Core, now time.Time, dead map[protocol.TargetID]bool, calls int) int {
	failed := 0
	for range calls {
		choice, ok := core.Pick(now, coordination.PickRequest{Service: service})
		if !ok {
			return failed
		}
		if dead[choice.Target] {
			failed++
		}
		core.Done(now, choice, coordination.CallResult{Failed: dead[choice.Target], FirstByte: 10 * time.Millisecond})
	}
	return failed
}

// A dead target fails every call at once, so it always looks idle. After a few
// failures it gets no calls until its ejection ends. Then a single failed call
// ejects it again.
func TestDeadTargetIsEjected(t *testing.T) {
	targets := listedTargets(4, localDomain)
	core := newTestCore(Options{}, targets...)
	dead := map[protocol.TargetID]bool{targets[1].ID: true}
	require.Equal(t, 3, callWithDeadTargets(core, start, dead, 200))
	require.Zero(t, callWithDeadTargets(core, start.Add(time.Second), dead, 200))
	require.Equal(t, 1, callWithDeadTargets(core, start.Add(3*time.Second), dead, 200), "one call after the ejection")
	require.Positive(t, pickCounts(t, core, start.Add(time.Hour), 40)[targets[1].ID], "the target is used again")
}

// Every target fails, for example because a faulty model version is loaded. Only
// a share of them may be ejected. Otherwise the remaining targets would be
// overloaded, and no target would be left for a recovery.
func TestEjectedShareIsLimited(t *testing.T) {
	targets := listedTargets(10, localDomain)
	core := newTestCore(Options{}, targets...)
	dead := map[protocol.TargetID]bool{}
	for _, listed := range targets {
		dead[listed.ID] = true
	}
	callWithDeadTargets(core, start, dead, 1000)
	ejected := 0
	for _, status := range core.Targets(start) {
		if status.Ejected {
			ejected++
		}
	}
	require.Equal(t, 5, ejected)
}

// A target answers many times more slowly than the others. It is ejected although
// no call fails, because its callers would wait too long.
func TestSlowTargetIsEjected(t *testing.T) {
	targets := listedTargets(4, localDomain)
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
	for _, status := range core.Targets(start) {
		require.Equal(t, status.Target == slow, status.Ejected, status.Target)
	}
}

// Many calls end because a caller disconnects or a batch item is revoked. Such
// calls say nothing about the target, which stays in use.
func TestAbandonedCallsDoNotEject(t *testing.T) {
	core := newTestCore(Options{}, listedTargets(2, localDomain)...)
	for range 50 {
		choice, _ := core.Pick(start, coordination.PickRequest{Service: service})
		core.Done(start, choice, coordination.CallResult{Abandoned: true})
	}
	for _, status := range core.Targets(start) {
		require.False(t, status.Ejected)
	}
}

func TestPrefixKeepsItsTargetUntilOverloaded(t *testing.T) {
	targets := listedTargets(8, localDomain)
	core := newTestCore(Options{AffinityMargin: 1}, targets...)
	for _, listed := range targets {
		core.ApplyReport(start, external.Load{Target: listed.ID})
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

// No load report arrived for one minute. With hundreds of instances, each has at
// most about one call at the target of a popular prefix, and together they would
// overload it. Prefix affinity is therefore off without recent reports.
func TestNoAffinityWithoutFreshReports(t *testing.T) {
	targets := listedTargets(8, localDomain)
	core := newTestCore(Options{AffinityMargin: 1}, targets...)
	for _, listed := range targets {
		core.ApplyReport(start, external.Load{Target: listed.ID})
	}
	seen := map[protocol.TargetID]bool{}
	later := start.Add(time.Minute)
	for range 50 {
		choice, _ := core.Pick(later, coordination.PickRequest{Service: service, Prefix: 42})
		core.Done(later, choice, coordination.CallResult{})
		seen[choice.Target] = true
	}
	require.Greater(t, len(seen), 3)
}

func TestExcludedTargetsAreNotPicked(t *testing.T) {
	targets := listedTargets(3, localDomain)
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

// TestCoreInvariants applies lists, reports, picks and ends of calls in random
// order. It checks that the calls in flight are counted correctly, that no
// leaving target is picked, and that the share of ejected targets stays within
// its limit.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(listedTargets(6, localDomain), listedTargets(6, remoteDomain)...)
		core := newTestCore(Options{}, all...)
		now := start
		var inFlight []Choice
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
				inFlight = append(inFlight, choice)
			},
			"done": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				result := coordination.CallResult{Failed: rapid.Bool().Draw(t, "failed"), FirstByte: time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond}
				core.Done(now, inFlight[0], result)
				inFlight = inFlight[1:]
			},
			"list": func(t *rapid.T) {
				partial := append([]external.ListedTarget(nil), all[:rapid.IntRange(0, len(all)).Draw(t, "n")]...)
				leaving = map[protocol.TargetID]bool{}
				if len(partial) > 0 {
					i := rapid.IntRange(0, len(partial)-1).Draw(t, "leaving")
					partial[i].Leaving = true
					leaving[partial[i].ID] = true
				}
				core.ApplyListing(now, external.Listing{Targets: partial})
				if len(partial) == 0 {
					for _, status := range core.Targets(now) {
						leaving[status.Target] = status.Leaving
					}
				}
			},
			"report": func(t *rapid.T) {
				core.ApplyReport(now, external.Load{Target: all[rapid.IntRange(0, len(all)-1).Draw(t, "i")].ID, Running: rapid.IntRange(0, 50).Draw(t, "running"), AgeMS: int64(rapid.IntRange(0, 3000).Draw(t, "age"))})
			},
			"": func(t *rapid.T) { requireInvariants(t, core, now, len(inFlight)) },
		})
	})
}

func requireInvariants(t *rapid.T, core *Core, now time.Time, inFlight int) {
	counted := 0
	ejected := 0
	targets := core.Targets(now)
	for _, status := range targets {
		require.GreaterOrEqual(t, status.Online, 0)
		require.GreaterOrEqual(t, status.Batch, 0)
		require.GreaterOrEqual(t, status.PeerStreams, 0.0)
		counted += status.Online + status.Batch
		if status.Ejected {
			ejected++
		}
	}
	require.Equal(t, inFlight, counted)
	require.LessOrEqual(t, ejected, 6)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 850} {
		for _, affinity := range []float64{0, 0.5} {
			b.Run(fmt.Sprintf("targets=%d/affinity=%g", n, affinity), func(b *testing.B) {
				core := newTestCore(Options{AffinityMargin: affinity}, append(listedTargets(n/4+1, localDomain), listedTargets(n-n/4-1, remoteDomain)...)...)
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

// Guards against a stream that goes on at a target of another software version, by load, by
// domain or by the prefix of its prompt.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	list := append(listedTargets(6, localDomain), listedTargets(6, remoteDomain)...)
	for i := range list {
		list[i].Version = []string{"v1", "v2", "v3"}[i%3]
	}
	core := newTestCore(Options{AffinityMargin: 0.5}, list...)
	for n := range 200 {
		version := []string{"v1", "v2", "v3"}[n%3]
		req := coordination.PickRequest{Service: service, Prefix: uint64(n), Resumes: true, Version: version}
		choice, ok := core.Pick(start, req)
		require.True(t, ok)
		require.Equal(t, version, choice.Version)
	}
	_, ok := core.Pick(start, coordination.PickRequest{Service: service, Resumes: true, Version: "v4"})
	require.False(t, ok)
	_, ok = core.Pick(start, coordination.PickRequest{Service: service, Resumes: true})
	require.False(t, ok, "targets with a version do not go on with streams of targets without one")
	_, ok = newTestCore(Options{}, listedTargets(1, localDomain)...).Pick(start, coordination.PickRequest{Service: service, Resumes: true})
	require.True(t, ok, "targets without a version count as of the same one")

	// A target that starts again under its id may have another version.
	list[0].Version = "v4"
	core.ApplyListing(start, external.Listing{Targets: list})
	choice, ok := core.Pick(start, coordination.PickRequest{Service: service, Resumes: true, Version: "v4"})
	require.True(t, ok)
	require.Equal(t, list[0].ID, choice.Target)
}
