package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// newTestCore returns a core in domain d0 with the given number of targets in each domain.
func newTestCore(domains, each int) *Core {
	c := New(Options{Domain: "d0", Random: rand.New(rand.NewPCG(1, 2))})
	var list []roster.Target
	for d := range domains {
		for i := range each {
			list = append(list, roster.Target{
				ID: fmt.Sprintf("t%d-%d", d, i), Service: "s", Domain: fmt.Sprintf("d%d", d),
				Address: fmt.Sprintf("10.%d.0.%d:1", d, i), Slots: 8,
			})
		}
	}
	c.SetTargets(list)
	return c
}

func pick(t *testing.T, c *Core, now time.Time, req Requirements) Choice {
	t.Helper()
	req.Service = "s"
	choice, ok := c.Pick(now, req)
	require.True(t, ok)
	return choice
}

func TestOwnDomainIsPreferredUntilBusier(t *testing.T) {
	c := newTestCore(2, 1)
	seen := map[string]int{}
	for range 10 {
		seen[pick(t, c, start, Requirements{}).Domain]++
	}
	require.Greater(t, seen["d0"], seen["d1"])
	require.Positive(t, seen["d1"])
}

func TestPeerRequestsOccupySlots(t *testing.T) {
	c := newTestCore(1, 2)
	c.SetPeer("other", []InFlight{{Target: "t0-0", Online: 7}})
	for range 6 {
		require.Equal(t, "t0-1", pick(t, c, start, Requirements{}).ID)
	}
	c.SetPeer("other", nil)
	require.Equal(t, "t0-0", pick(t, c, start, Requirements{}).ID)
}

// A target reports more requests than the instances know of: an instance that is isolated
// from the others uses it too. The extra requests count until the report expires.
func TestUnaccountedRequestsExpire(t *testing.T) {
	c := newTestCore(1, 2)
	c.ApplyLoad(start, "t0-0", exchange.Load{Running: 8, Waiting: 3, Slots: 8})
	require.Equal(t, "t0-1", pick(t, c, start, Requirements{}).ID)
	require.Equal(t, "t0-0", pick(t, c, after(time.Second), Requirements{}).ID)
}

// All slots are taken, some by batch items. An online request goes to a target that runs an
// item, and its choice says that it must preempt one. Another item finds no slot.
func TestOnlineRequestPreemptsBatchItem(t *testing.T) {
	c := newTestCore(1, 2)
	c.SetPeer("other", []InFlight{{Target: "t0-1", Batch: 2}})
	for range 14 {
		require.False(t, pick(t, c, start, Requirements{}).MustPreempt)
	}
	choice := pick(t, c, start, Requirements{})
	require.Equal(t, "t0-1", choice.ID)
	require.True(t, choice.MustPreempt)
	_, ok := c.Pick(start, Requirements{Service: "s", Batch: true})
	require.False(t, ok)
}

// Guards against requests and batch items that overflow to a crashed target while the others
// are busy. Each attempt is refused and retried, which causes a storm of connections and
// delays requests.
func TestUnreachableTargetGetsNoOverflow(t *testing.T) {
	c := newTestCore(1, 2)
	dead := pick(t, c, start, Requirements{Exclude: []string{"t0-1"}})
	c.Done(start, dead, Unreachable)
	for range 20 {
		if choice, ok := c.Pick(after(10*time.Millisecond), Requirements{Service: "s"}); ok {
			require.Equal(t, "t0-1", choice.ID)
		}
	}
	_, ok := c.Pick(after(10*time.Millisecond), Requirements{Service: "s", Batch: true})
	require.False(t, ok)
}

// An avoided target is probed after the pause by one batch item or idempotent request. It
// gets all kinds of requests again once a probe is answered.
func TestUnreachableTargetIsProbedByOneRequest(t *testing.T) {
	c := newTestCore(1, 2)
	dead := pick(t, c, start, Requirements{Exclude: []string{"t0-1"}})
	c.Done(start, dead, Unreachable)
	later := after(500 * time.Millisecond)
	for range 6 {
		require.Equal(t, "t0-1", pick(t, c, later, Requirements{}).ID, "requests that are not idempotent are not used as probes")
	}
	probe := pick(t, c, later, Requirements{Repeatable: true})
	require.Equal(t, "t0-0", probe.ID)
	require.Equal(t, "t0-1", pick(t, c, later, Requirements{Repeatable: true}).ID, "only one probe at a time")
	c.Done(later, probe, Unreachable)
	require.Equal(t, "t0-1", pick(t, c, after(900*time.Millisecond), Requirements{Batch: true, Exclude: nil}).ID, "the pause has doubled")
	probe = pick(t, c, after(1400*time.Millisecond), Requirements{Batch: true})
	require.Equal(t, "t0-0", probe.ID)
	c.Done(after(1400*time.Millisecond), probe, Served)
	require.Equal(t, "t0-0", pick(t, c, after(1400*time.Millisecond), Requirements{}).ID)
}

// All targets have failed, for example because the instance itself was briefly isolated.
// Requests are sent nevertheless, since rejecting them would be worse.
func TestSuspectTargetIsTriedIfNoneIsTrusted(t *testing.T) {
	c := newTestCore(1, 2)
	for range 2 {
		c.Done(start, pick(t, c, start, Requirements{}), Unreachable)
	}
	pick(t, c, start, Requirements{})
}

// A network partition isolates another failure domain. Requests to its targets would wait
// until they time out. The instances of the domain are silent too, which is noticed before
// any request is lost.
func TestTargetsOfSilentDomainAreAvoided(t *testing.T) {
	c := newTestCore(2, 1)
	c.SetDomainSilent(start, "d1", true)
	for range 8 {
		require.Equal(t, "d0", pick(t, c, start, Requirements{}).Domain)
	}
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok, "waiting for a slot is better than sending to a target that does not answer")
	c.SetDomainSilent(start, "d1", false)
	require.Equal(t, "d1", pick(t, c, start, Requirements{}).Domain)
}

// Only the instances of the other domain are unreachable. Its targets answer a probe and are
// used again.
func TestTargetsOfSilentDomainAreUsedAfterProbe(t *testing.T) {
	c := newTestCore(2, 1)
	c.SetDomainSilent(start, "d1", true)
	later := after(time.Second)
	probe := pick(t, c, later, Requirements{Repeatable: true, Exclude: []string{"t0-0"}})
	require.Equal(t, "d1", probe.Domain)
	c.Done(later, probe, Served)
	seen := map[string]int{}
	for range 16 {
		seen[pick(t, c, later, Requirements{}).Domain]++
	}
	require.Equal(t, map[string]int{"d0": 8, "d1": 8}, seen)
}

func TestReplacedTargetGetsNoRequests(t *testing.T) {
	c := newTestCore(1, 1)
	c.Done(start, pick(t, c, start, Requirements{}), Replaced)
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok)
	require.False(t, c.HasTargets(Requirements{Service: "s"}))
}

// A target restarts under the same ID. Requests counted for its old incarnation must not
// occupy slots of the new one.
func TestRestartedTargetStartsEmpty(t *testing.T) {
	c := newTestCore(1, 1)
	old := pick(t, c, start, Requirements{})
	c.SetTargets([]roster.Target{{ID: "t0-0", Service: "s", Domain: "d0", Address: "10.0.0.0:1", Slots: 8, Started: 5}})
	require.Zero(t, pick(t, c, start, Requirements{}).Busy)
	c.Done(start, old, Broken)
	require.Equal(t, 1, pick(t, c, start, Requirements{}).Busy)
}

// Guards against counts of other instances that drift from their latest messages while
// instances and targets join and leave. Such targets would count as busy or free forever.
func TestPeerCountsMatchLastMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 9))
	core := New(Options{Domain: "d", Random: random})
	latest := map[string][]InFlight{}
	for range 500 {
		var list []roster.Target
		for i := range random.IntN(4) {
			list = append(list, roster.Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("a", i), Started: int64(random.IntN(2))})
		}
		if random.IntN(4) == 0 {
			core.SetTargets(list)
		}
		name := fmt.Sprint("n", random.IntN(3))
		latest[name] = nil
		for i := range random.IntN(4) {
			latest[name] = append(latest[name], InFlight{Target: fmt.Sprint("t", i), Online: random.IntN(5), Batch: random.IntN(5)})
		}
		core.SetPeer(name, latest[name])
		for id, target := range core.targets {
			online, batch := 0, 0
			for _, counts := range latest {
				for _, n := range counts {
					if n.Target == id {
						online, batch = online+n.Online, batch+n.Batch
					}
				}
			}
			require.Equal(t, online, target.peerOnline)
			require.Equal(t, batch, target.peerBatch)
		}
	}
}
