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

// fleet is a core in domain d0 with some targets in each of some domains.
func fleet(domains, each int) *Core {
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

func pick(t *testing.T, c *Core, now time.Time, want Requirements) Choice {
	t.Helper()
	want.Service = "s"
	choice, ok := c.Pick(now, want)
	require.True(t, ok)
	return choice
}

func TestOwnDomainComesFirstUntilItIsBusier(t *testing.T) {
	c := fleet(2, 1)
	seen := map[string]int{}
	for range 10 {
		seen[pick(t, c, start, Requirements{}).Domain]++
	}
	require.Greater(t, seen["d0"], seen["d1"])
	require.Positive(t, seen["d1"])
}

func TestCountsOfOtherInstancesCount(t *testing.T) {
	c := fleet(1, 2)
	c.SetPeer("other", []InFlight{{Target: "t0-0", Online: 7}})
	for range 6 {
		require.Equal(t, "t0-1", pick(t, c, start, Requirements{}).ID)
	}
	c.SetPeer("other", nil)
	require.Equal(t, "t0-0", pick(t, c, start, Requirements{}).ID)
}

// A target reports more requests than the instances know of, because one of them
// is cut off from the others and uses it too.
func TestUnknownLoadCountsForAWhile(t *testing.T) {
	c := fleet(1, 2)
	c.Told(start, "t0-0", exchange.Load{Running: 8, Waiting: 3, Slots: 8})
	require.Equal(t, "t0-1", pick(t, c, start, Requirements{}).ID)
	require.Equal(t, "t0-0", pick(t, c, after(time.Second), Requirements{}).ID)
}

// All slots are taken, some by batch items. The online request goes where an item
// can give way, and says so; an item finds no place.
func TestOnlineGoesWhereBatchGivesWay(t *testing.T) {
	c := fleet(1, 2)
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

// A target crashed and refuses connections. While the others are busy, requests
// and batch items overflow to it, find nobody, come back and try again: a storm
// of connections, and requests that wait in vain.
func TestDeadTargetIsNoOverflow(t *testing.T) {
	c := fleet(1, 2)
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

// The same target is tried again after a while: by one item or repeatable request
// at first, and by all once it answered.
func TestDeadTargetIsProbedByOne(t *testing.T) {
	c := fleet(1, 2)
	dead := pick(t, c, start, Requirements{Exclude: []string{"t0-1"}})
	c.Done(start, dead, Unreachable)
	later := after(500 * time.Millisecond)
	for range 6 {
		require.Equal(t, "t0-1", pick(t, c, later, Requirements{}).ID, "what may not be repeated is no probe")
	}
	probe := pick(t, c, later, Requirements{Repeatable: true})
	require.Equal(t, "t0-0", probe.ID)
	require.Equal(t, "t0-1", pick(t, c, later, Requirements{Repeatable: true}).ID, "one probe is enough")
	c.Done(later, probe, Unreachable)
	require.Equal(t, "t0-1", pick(t, c, after(900*time.Millisecond), Requirements{Batch: true, Exclude: nil}).ID, "the pause has doubled")
	probe = pick(t, c, after(1400*time.Millisecond), Requirements{Batch: true})
	require.Equal(t, "t0-0", probe.ID)
	c.Done(after(1400*time.Millisecond), probe, Served)
	require.Equal(t, "t0-0", pick(t, c, after(1400*time.Millisecond), Requirements{}).ID)
}

// All targets have failed, as when the instance itself was cut off for a moment.
// Requests are tried all the same: refusing them would be worse.
func TestWithoutAnyGoodTargetABadOneIsTried(t *testing.T) {
	c := fleet(1, 2)
	for range 2 {
		c.Done(start, pick(t, c, start, Requirements{}), Unreachable)
	}
	pick(t, c, start, Requirements{})
}

// The path to another failure domain is cut. Its targets are silent, and each
// request that is sent there waits in vain. Its instances are silent too, which
// shows before any request is lost.
func TestTargetsOfASilentDomainAreLeft(t *testing.T) {
	c := fleet(2, 1)
	c.SetDomainSilent(start, "d1", true)
	for range 8 {
		require.Equal(t, "d0", pick(t, c, start, Requirements{}).Domain)
	}
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok, "waiting for a slot is better than being sent where nobody answers")
	c.SetDomainSilent(start, "d1", false)
	require.Equal(t, "d1", pick(t, c, start, Requirements{}).Domain)
}

// Only the instances of the other domain are cut off. Its targets answer a probe
// and are used again.
func TestSilentDomainWhoseTargetsAnswerIsUsed(t *testing.T) {
	c := fleet(2, 1)
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

func TestReplacedTargetGetsNothingMore(t *testing.T) {
	c := fleet(1, 1)
	c.Done(start, pick(t, c, start, Requirements{}), Replaced)
	_, ok := c.Pick(start, Requirements{Service: "s"})
	require.False(t, ok)
	require.False(t, c.Known("s"))
}

// A target starts again under its id. What is counted for its old life must not
// keep requests from the new one.
func TestNewLifeOfATargetStartsEmpty(t *testing.T) {
	c := fleet(1, 1)
	old := pick(t, c, start, Requirements{})
	c.SetTargets([]roster.Target{{ID: "t0-0", Service: "s", Domain: "d0", Address: "10.0.0.0:1", Slots: 8, Started: 5}})
	require.Zero(t, pick(t, c, start, Requirements{}).Busy)
	c.Done(start, old, Broken)
	require.Equal(t, 1, pick(t, c, start, Requirements{}).Busy)
}

// What other instances have at the targets is counted as they tell it. However they
// come and go, and targets with them, the counts are those of the last messages; if
// they drifted, targets would count as busy or free for good.
func TestCountsOfOthersAreThoseOfTheirLastMessages(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 9))
	core := New(Options{Domain: "d", Random: random})
	told := map[string][]InFlight{}
	for range 500 {
		var list []roster.Target
		for i := range random.IntN(4) {
			list = append(list, roster.Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint("a", i), Started: int64(random.IntN(2))})
		}
		if random.IntN(4) == 0 {
			core.SetTargets(list)
		}
		name := fmt.Sprint("n", random.IntN(3))
		told[name] = nil
		for i := range random.IntN(4) {
			told[name] = append(told[name], InFlight{Target: fmt.Sprint("t", i), Online: random.IntN(5), Batch: random.IntN(5)})
		}
		core.SetPeer(name, told[name])
		for id, target := range core.targets {
			online, batch := 0, 0
			for _, held := range told {
				for _, h := range held {
					if h.Target == id {
						online, batch = online+h.Online, batch+h.Batch
					}
				}
			}
			require.Equal(t, online, target.elsewhereOnline)
			require.Equal(t, batch, target.elsewhereBatch)
		}
	}
}
