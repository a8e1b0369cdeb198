package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// holdersOf counts the instances that may use each slot of a domain now.
func (f *fakeFleet) holdersOf(domain string) map[SlotKey]int {
	count := map[SlotKey]int{}
	for _, l := range f.all {
		f.net.mu.Lock()
		down := f.net.down[l.Self]
		f.net.mu.Unlock()
		if down {
			continue
		}
		l.mu.Lock()
		now := time.Now()
		l.authorise(now)
		for slot := range SlotsPerDomain {
			key := SlotKey{Domain: l.Domain, Slot: slot}
			if string(l.Domain) == domain && l.core.Holds(now, key) {
				count[key]++
			}
		}
		l.mu.Unlock()
	}
	return count
}

func (f *fakeFleet) requireHeld(domain string, slots int) {
	f.t.Helper()
	held := f.holdersOf(domain)
	require.Len(f.t, held, slots)
	for key, count := range held {
		require.Equal(f.t, 1, count, "slot %v", key)
	}
}

// An instance dies and its session expires in the log. Until its mates claim
// its slots, an organisation misses their part of its rate.
func TestMatesClaimTheSlotsOfADeadInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.net.stop("a1")
		f.journal("a1").setCut(true, false)
		f.expire("a2", 1)
		pass(2 * time.Second)
		f.requireHeld("a", SlotsPerDomain)
	})
}

// A whole failure domain loses the log for an hour. Its sessions expire, seen
// by the others. If its instances stopped granting, all its callers would be
// refused for the hour.
func TestDomainWithoutTheLogGoesOnByPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		for _, id := range []string{"a1", "a2", "a3"} {
			f.journal(f.id(id)).setCut(true, true)
		}
		pass(5 * time.Second)
		for _, id := range []string{"a1", "a2", "a3"} {
			f.journal(f.id(id)).setCut(true, false)
		}
		f.expire("b1", 1)
		f.expire("b1", 2)
		f.expire("b1", 3)
		pass(5 * time.Minute)
		f.requireHeld("a", SlotsPerDomain)
		require.Equal(t, 30, f.admitted("a1", "o0", 60))
	})
}

// An instance alone loses the log, its session expires, and a mate that sees
// the log wants its slots. Both would grant the same tokens if the mate
// claimed while its promise still stands.
func TestMateClaimsOnlyAfterItsPromiseRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.journal("a1").setCut(true, true)
		pass(5 * time.Second)
		f.journal("a1").setCut(true, false)
		held := len(f.holdersOf("a"))
		require.Equal(t, SlotsPerDomain, held)
		f.expire("a2", 1)
		for range 400 {
			for key, count := range f.holdersOf("a") {
				require.LessOrEqual(t, count, 1, "slot %v", key)
			}
			pass(100 * time.Millisecond)
		}
		require.Empty(t, f.heldBy("a1"))
		f.requireHeld("a", SlotsPerDomain)
	})
}

// A holder that is cut off from the log can't know an instance that started
// later. Without a proof that the holder is gone, the newcomer must not claim.
func TestNewcomerDoesNotClaimFromAHolderThatCannotKnowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.configure("a1", domains("a"))
		pass(10 * time.Second)
		f.journal("a1").setCut(true, false)
		f.start("a2", "a")
		f.start("b1", "b")
		pass(time.Second)
		f.expire("b1", 1)
		pass(5 * time.Minute)
		f.requireHeld("a", SlotsPerDomain)
		require.Len(t, f.heldBy("a1"), SlotsPerDomain)
		pass(10 * time.Minute)
		require.Len(t, f.heldBy("a2"), SlotsPerDomain)
		f.requireHeld("a", SlotsPerDomain)
	})
}

// All instances of a domain are replaced at once, at their old addresses. The
// word of the new process there that the old session is gone is enough: no
// organisation waits for the grace.
func TestReplacementAtTheSameAddressClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", domains("a"))
		pass(10 * time.Second)
		f.journal("a1").setCut(true, false)
		f.start("a1", "a")
		pass(time.Second)
		f.expire("b1", 1)
		pass(3 * time.Second)
		require.Len(t, f.heldBy("a1"), SlotsPerDomain)
	})
}

// A domain loses power. Its only instance is back after its session has expired,
// under the same address, and has never seen the old session open. Its slots
// must not rest for hours.
func TestReplacementAfterTheExpiryClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", domains("a"))
		pass(10 * time.Second)
		f.net.stop("a1")
		f.journal("a1").end()
		f.journal("a1").setCut(true, false)
		pass(time.Second)
		f.expire("b1", 1)
		pass(time.Minute)
		f.start("a1", "a")
		pass(5 * time.Second)
		require.Len(t, f.heldBy("a1"), SlotsPerDomain)
	})
}

// A replacement starts elsewhere under the id of an instance that is cut off and
// goes on. It can't speak for the old process, and must not claim its slots.
func TestReplacementElsewhereDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		old := f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", domains("a"))
		pass(10 * time.Second)
		f.journal("a1").setCut(true, false)
		f.startAt("a1", "a", "elsewhere")
		pass(time.Second)
		f.expire("b1", 1)
		pass(time.Minute)
		require.Empty(t, f.heldBy("a1"), "the replacement")
		f.all["a1"] = old
		require.Len(t, f.heldBy("a1"), SlotsPerDomain, "the old process")
	})
}
