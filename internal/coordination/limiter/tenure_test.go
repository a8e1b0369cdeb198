package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countHolders returns how many instances may use each slot of a domain now.
func (f *fakeFleet) countHolders(domain string) map[SlotKey]int {
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
		l.refreshUsableUntil(now)
		for slot := range SlotsPerDomain {
			key := SlotKey{Domain: l.Domain, Slot: slot}
			if string(l.Domain) == domain && l.core.MayUse(now, key) {
				count[key]++
			}
		}
		l.mu.Unlock()
	}
	return count
}

func (f *fakeFleet) requireOneHolderEach(domain string, slots int) {
	f.t.Helper()
	held := f.countHolders(domain)
	require.Len(f.t, held, slots)
	for key, count := range held {
		require.Equal(f.t, 1, count, "slot %v", key)
	}
}

// An instance terminates and its session expires in the log. Until its peers
// claim its slots, organisations lack the rate of these slots.
func TestPeersClaimSlotsOfTerminatedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.net.stop("a1")
		f.journal("a1").setIsolated(true, false)
		f.expire("a2", 1)
		sleep(2 * time.Second)
		f.requireOneHolderEach("a", SlotsPerDomain)
	})
}

// All instances of a failure domain lose the log for an hour, and other
// instances expire their sessions. If the instances stopped granting tokens,
// all callers of the domain would be rejected for the hour.
func TestDomainWithoutLogKeepsAdmittingOnPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		for _, id := range []string{"a1", "a2", "a3"} {
			f.journal(f.mustExist(id)).setIsolated(true, true)
		}
		sleep(5 * time.Second)
		for _, id := range []string{"a1", "a2", "a3"} {
			f.journal(f.mustExist(id)).setIsolated(true, false)
		}
		f.expire("b1", 1)
		f.expire("b1", 2)
		f.expire("b1", 3)
		sleep(5 * time.Minute)
		f.requireOneHolderEach("a", SlotsPerDomain)
		require.Equal(t, 30, f.countAdmitted("a1", "o0", 60))
	})
}

// One instance loses the log, its session expires, and a peer with access to
// the log is to claim its slots. Both would grant the same tokens if the peer
// claimed before its promise had expired.
func TestPeerClaimsOnlyAfterItsPromiseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.journal("a1").setIsolated(true, true)
		sleep(5 * time.Second)
		f.journal("a1").setIsolated(true, false)
		held := len(f.countHolders("a"))
		require.Equal(t, SlotsPerDomain, held)
		f.expire("a2", 1)
		for range 400 {
			for key, count := range f.countHolders("a") {
				require.LessOrEqual(t, count, 1, "slot %v", key)
			}
			sleep(100 * time.Millisecond)
		}
		require.Empty(t, f.usableSlots("a1"))
		f.requireOneHolderEach("a", SlotsPerDomain)
	})
}

// A holder that is isolated from the log cannot know an instance that started
// later. Such an instance must not claim until it is confirmed that the holder
// has stopped, or the grace period has passed.
func TestUnknownInstanceDoesNotClaimFromLiveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.configure("a1", equalShares("a"))
		sleep(10 * time.Second)
		f.journal("a1").setIsolated(true, false)
		f.start("a2", "a")
		f.start("b1", "b")
		sleep(time.Second)
		f.expire("b1", 1)
		sleep(5 * time.Minute)
		f.requireOneHolderEach("a", SlotsPerDomain)
		require.Len(t, f.usableSlots("a1"), SlotsPerDomain)
		sleep(10 * time.Minute)
		require.Len(t, f.usableSlots("a2"), SlotsPerDomain)
		f.requireOneHolderEach("a", SlotsPerDomain)
	})
}

// All instances of a domain are replaced at once, at their old addresses. The
// new process at an address can confirm that the old session is no longer used,
// so no organisation has to wait for the grace period.
func TestReplacementAtTheSameAddressClaimsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", equalShares("a"))
		sleep(10 * time.Second)
		f.journal("a1").setIsolated(true, false)
		f.start("a1", "a")
		sleep(time.Second)
		f.expire("b1", 1)
		sleep(3 * time.Second)
		require.Len(t, f.usableSlots("a1"), SlotsPerDomain)
	})
}

// A domain loses power. Its only instance returns at the same address after its
// session has expired, so it has never seen the old session open. Its slots
// must not stay unused for the grace period of hours.
func TestReplacementAfterExpiryClaimsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", equalShares("a"))
		sleep(10 * time.Second)
		f.net.stop("a1")
		f.journal("a1").terminate()
		f.journal("a1").setIsolated(true, false)
		sleep(time.Second)
		f.expire("b1", 1)
		sleep(time.Minute)
		f.start("a1", "a")
		sleep(5 * time.Second)
		require.Len(t, f.usableSlots("a1"), SlotsPerDomain)
	})
}

// A replacement starts at another address with the id of an isolated instance
// that is still running. It cannot confirm anything for the old process, and
// must not claim the old process's slots.
func TestReplacementAtAnotherAddressDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		old := f.start("a1", "a")
		f.start("b1", "b")
		f.configure("a1", equalShares("a"))
		sleep(10 * time.Second)
		f.journal("a1").setIsolated(true, false)
		f.startAt("a1", "a", "elsewhere")
		sleep(time.Second)
		f.expire("b1", 1)
		sleep(time.Minute)
		require.Empty(t, f.usableSlots("a1"), "the replacement")
		f.all["a1"] = old
		require.Len(t, f.usableSlots("a1"), SlotsPerDomain, "the old process")
	})
}
