package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// Guards against the loss of tokens when an instance shuts down: a rolling
// restart would reject callers that are within their rate.
func TestLeavingInstanceHandsItsTokensOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", equalShares("a", "b", "c"), protocol.Organisation{ID: "slow", Rate: 0.3, Burst: 30})
		sleep(3 * time.Minute)
		f.all["a1"].Leave(t.Context())
		f.journal("a1").submit(protocol.Record{SessionClose: &protocol.SessionClose{}})
		sleep(time.Second)
		f.requireOneHolderEach("a", SlotsPerDomain)
		require.Empty(t, f.usableSlots("a1"))
		require.GreaterOrEqual(t, f.countAdmitted("a2", "slow", 60), 29)
	})
}

// A duplicate of a handover arrives after its tokens were used and the slot
// returned to the same instance. The tokens must not be credited again.
func TestDuplicateHandoverIsIgnored(t *testing.T) {
	c := NewCore("i", "a", Defaults())
	c.Configure(epoch, &protocol.Fleet{
		Version:       1,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{"o0": {ID: "o0", Rate: 1, Burst: 4}},
		Domains:       equalShares("a"),
	}, true)
	c.SetUsableUntil(epoch.Add(time.Hour))
	key := Divide(c.fleet.Organisations["o0"], c.fleet.Domains)[0].Key
	args := SlotBalances{Slot: key, Fence: 5, Balances: []Balance{{Organisation: "o0", Tokens: 3}}}
	c.ReceiveHandover(epoch, args)
	c.AddSlot(epoch, key, 6)
	require.Equal(t, 3.0, c.Take(epoch, TakeArgs{Organisation: "o0", Slot: key, Now: 9}).Now)
	c.RemoveSlot(key)
	c.ReceiveHandover(epoch, args)
	c.AddSlot(epoch, key, 9)
	require.Zero(t, c.Take(epoch, TakeArgs{Organisation: "o0", Slot: key, Now: 9}).Now)
}

// After a rate was raised, a quota grows only once every holder has applied the
// change. This must take only seconds.
func TestRaisedRateTakesEffectWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", equalShares("a", "b", "c"), protocol.Organisation{ID: "o0", Rate: 60, Burst: 90})
		sleep(5 * time.Second)
		require.Equal(t, 90, f.countAdmitted("a1", "o0", 200))
	})
}

// A failure domain gets a larger share while the domain that loses its share is
// isolated and still uses the old configuration. If the share grew immediately,
// the sum would exceed the organisation's rate.
func TestShareGrowsOnlyAfterTheOtherDomainAppliesTheChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.journal("b1").setIsolated(true, true)
		f.net.partitionDomains("a", "b")
		f.net.partitionDomains("b", "c")
		shares := equalShares("a", "b", "c")
		shares["a"] = protocol.DomainShare{Domain: "a", Share: 8}
		f.configure("a1", shares, protocol.Organisation{ID: "o0", Rate: 30, Burst: 30})
		sleep(20 * time.Second)
		total := f.countAdmitted("a1", "o0", 60) + f.countAdmitted("b1", "o0", 60) + f.countAdmitted("c1", "o0", 60)
		require.LessOrEqual(t, total, 30)
		f.net.mu.Lock()
		clear(f.net.partitioned)
		f.net.mu.Unlock()
		f.journal("b1").setIsolated(false, true)
		sleep(20 * time.Second)
		require.Equal(t, 30, f.countAdmitted("a1", "o0", 60))
	})
}
