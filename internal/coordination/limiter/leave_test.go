package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// An instance is shut down in a deployment. Were its tokens lost with it, a
// rolling restart would refuse callers inside their rate.
func TestLeaverHandsItsTokensOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", domains("a", "b", "c"), protocol.Organisation{ID: "slow", Rate: 0.3, Burst: 30})
		pass(3 * time.Minute)
		f.all["a1"].Leave(t.Context())
		f.journal("a1").submit(protocol.Record{SessionClose: &protocol.SessionClose{}})
		pass(time.Second)
		f.requireHeld("a", SlotsPerDomain)
		require.Empty(t, f.heldBy("a1"))
		require.GreaterOrEqual(t, f.admitted("a2", "slow", 60), 29)
	})
}

// A handover arrives twice, the second time after its tokens were used and the
// slot came back. Its tokens must not be there again.
func TestSecondCopyOfAHandoverIsDropped(t *testing.T) {
	c := NewCore("i", "a", Defaults())
	c.Configure(epoch, &protocol.Fleet{
		Version:       1,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{"o0": {ID: "o0", Rate: 1, Burst: 4}},
		Domains:       domains("a"),
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

// The rate is raised. The new part may grow only when every holder follows the
// change, and must do so within seconds.
func TestRaisedRateIsInForceWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.configure("a1", domains("a", "b", "c"), protocol.Organisation{ID: "o0", Rate: 60, Burst: 90})
		pass(5 * time.Second)
		require.Equal(t, 90, f.admitted("a1", "o0", 200))
	})
}

// A failure domain gets a larger share while the one that gives it up is cut
// off and still follows the old configuration. If the first grew now, the sum
// would pass the organisation's rate.
func TestShareGrowsOnlyWhenTheOtherDomainFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := threeDomains(t)
		f.journal("b1").setCut(true, true)
		f.net.cutDomains("a", "b")
		f.net.cutDomains("b", "c")
		shares := domains("a", "b", "c")
		shares["a"] = protocol.DomainShare{Domain: "a", Share: 8}
		f.configure("a1", shares, protocol.Organisation{ID: "o0", Rate: 30, Burst: 30})
		pass(20 * time.Second)
		total := f.admitted("a1", "o0", 60) + f.admitted("b1", "o0", 60) + f.admitted("c1", "o0", 60)
		require.LessOrEqual(t, total, 30)
		f.net.mu.Lock()
		clear(f.net.cut)
		f.net.mu.Unlock()
		f.journal("b1").setCut(false, true)
		pass(20 * time.Second)
		require.Equal(t, 30, f.admitted("a1", "o0", 60))
	})
}
