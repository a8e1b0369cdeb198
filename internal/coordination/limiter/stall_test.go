package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// processStall is longer than the time for the calls of a decision.
const processStall = 80 * time.Millisecond

// quietFleet is threeDomains with an organisation that has a single slot. Its slots are
// claimed and full, and its services have stopped.
func quietFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := threeDomains(t)
	f.configure("a1", nil, protocol.Organisation{ID: "single", Rate: 30, Burst: 1})
	sleep(10 * time.Second)
	f.stopServices()
	synctest.Wait()
	return f
}

// slotsOf returns how many slots of an organisation an instance holds.
func (f *fakeFleet) slotsOf(id protocol.InstanceID, org protocol.OrganisationID) int {
	fleet := f.journal(id).Fleet()
	view := f.all[id].state.view(fleet)
	count := 0
	for _, quota := range Divide(fleet.Organisations[org], fleet.Domains) {
		if view.Leases[quota.Key].Instance == id {
			count++
		}
	}
	return count
}

// findOrganisation returns an organisation of which an instance holds a number of slots.
func (f *fakeFleet) findOrganisation(id protocol.InstanceID, slots int) protocol.OrganisationID {
	f.t.Helper()
	for org := range f.journal(id).Fleet().Organisations {
		if org != "single" && f.slotsOf(id, org) == slots {
			return org
		}
	}
	f.t.Fatalf("no organisation has %d slots at %s", slots, id)
	return ""
}

// otherThanHolder returns an instance that does not hold the slot of "single".
func (f *fakeFleet) otherThanHolder() protocol.InstanceID {
	f.t.Helper()
	for id := range f.all {
		if f.slotsOf(id, "single") == 0 {
			return id
		}
	}
	f.t.Fatal("every instance holds a slot")
	return ""
}

// Guards against a stall of the process that refuses a request although the instance holds
// tokens.
func TestStalledDecisionSpendsTokensAtHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quietFleet(t)
		org := f.findOrganisation("a1", 1)
		require.Equal(t, 2, f.countAdmitted("a1", org, 2))
		f.journal("a1").stallNext(processStall)
		require.Nil(t, f.all["a1"].Admit(t.Context(), org, 1))
	})
}

// Guards against a stall of the process that refuses a request before another instance was
// asked for tokens.
func TestStalledDecisionAsksOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quietFleet(t)
		org := f.findOrganisation("a1", 0)
		f.journal("a1").stallNext(processStall)
		require.Nil(t, f.all["a1"].Admit(t.Context(), org, 1))
	})
}

// Guards against granted tokens that expire during a stall and can't be asked for again.
func TestSlotIsAskedAgainIfItsTokensExpiredInAStall(t *testing.T) {
	now := epoch
	core := NewCore("i", "a", Defaults())
	shares := equalShares("a")
	core.Configure(now, &protocol.Fleet{
		Domains:       shares,
		Organisations: map[protocol.OrganisationID]protocol.Organisation{"o": {ID: "o", Rate: 1, Burst: 1}},
	}, true)
	key := Divide(protocol.Organisation{ID: "o", Rate: 1, Burst: 1}, shares)[0].Key
	core.SetHolders(map[SlotKey]protocol.InstanceID{key: "holder"})
	request := &Request{Organisation: "o", Tokens: 1}
	for range 2 {
		decision := core.Decide(now, request)
		require.NotNil(t, decision.Call)
		now = now.Add(processStall)
		core.HandleReply(now, decision.Call, TakeReply{Holder: true, Now: 1}, false)
		request.granted = decision.Call
	}
	require.True(t, core.Decide(now, request).Refused, "a slot is asked once more only")
}

// Guards against a caller that leaves and thereby makes the holder of a slot count as
// silent, for the requests of all organisations.
func TestCallerThatLeavesDoesNotSuspendTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quietFleet(t)
		id := f.otherThanHolder()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Microsecond)
		defer cancel()
		refusal := f.all[id].Admit(ctx, "single", 1)
		require.NotNil(t, refusal)
		require.Equal(t, protocol.CodeDeadline, refusal.Code)
		sleep(300 * time.Millisecond)
		require.Nil(t, f.all[id].Admit(t.Context(), "single", 1))
	})
}

// Guards against a full queue of this instance that counts as silence of the holders.
func TestFullQueueOfBackgroundCallsDoesNotSuspendTheHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := quietFleet(t)
		org := f.findOrganisation("a1", 0)
		for f.all["a1"].backgroundCalls.Offer(&TakeCall{}) {
		}
		require.Equal(t, 30, f.countAdmitted("a1", org, 60))
	})
}
