package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// seesLeaving reports whether the instance knows that a target is leaving. A target that
// is no longer listed counts as leaving.
func (inst *testInstance) seesLeaving(id string) bool {
	list, _, _ := inst.daemon.view.TargetsNewerThan(-1)
	for _, t := range list {
		if t.ID == id {
			return t.Leaving
		}
	}
	return true
}

// startLeaving makes the target announce that it is leaving.
func (t *target) startLeaving() {
	t.state = "draining"
	t.register()
}

func (fleet *testFleet) followers() (found []*testInstance) {
	for _, inst := range fleet.instances {
		if inst.daemon.mesh.GetsTargetListFromRelay() {
			found = append(found, inst)
		}
	}
	return found
}

// In a large fleet only the relays read the list of targets, and the other instances
// receive its changes from them. All instances must learn that a target is leaving as soon
// as in a small fleet, also when the relays have just died. Otherwise the exit of the
// target interrupts requests.
func TestFollowersLearnOfLeavingTargets(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 7, targets: 2})
		sleep(time.Second)
		followers := fleet.followers()
		require.Len(t, followers, 15, "two of seven are relays")
		fleet.targets[0].startLeaving()
		sleep(bound)
		for _, inst := range fleet.instances {
			require.True(t, inst.seesLeaving(fleet.targets[0].id), inst.name)
		}

		isFollower := map[*testInstance]bool{}
		for _, inst := range followers {
			isFollower[inst] = true
		}
		for _, inst := range fleet.instances {
			if !isFollower[inst] {
				inst.kill()
			}
		}
		fleet.targets[1].startLeaving()
		sleep(bound)
		for _, inst := range followers {
			require.True(t, inst.seesLeaving(fleet.targets[1].id), inst.name)
		}
	})
}

// The relays can't reach the store. The other instances must not rely on the list of
// the relays, and must read the store themselves.
func TestRelayWithoutStoreIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 7, targets: 2})
		sleep(time.Second)
		isFollower := map[*testInstance]bool{}
		for _, inst := range fleet.followers() {
			isFollower[inst] = true
		}
		for _, inst := range fleet.instances {
			if !isFollower[inst] {
				inst.storeAccess.Set(sharedstore.Fault{Silent: true})
			}
		}
		// A pending read still gets its response within 1 s; a response counts as current for
		// another 1 s; and two heartbeats to a relay may be 0.4 s apart.
		sleep(3 * time.Second)
		require.Empty(t, fleet.followers())
		fleet.targets[0].startLeaving()
		sleep(2 * time.Second)
		for _, inst := range fleet.instances {
			require.True(t, inst.seesLeaving(fleet.targets[0].id), inst.name)
		}
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{})
		}
	})
}
