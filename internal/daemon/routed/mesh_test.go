package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
)

// All instances of a fleet start at the same time, as after an outage. Each must
// discover all others soon. An instance that knows too few peers ignores their requests
// when it selects targets, and runs items that they already run.
func TestInstancesThatStartTogetherDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 3, targets: 1})
		requireAllUp(t, fleet)
	})
}

// An instance is killed for good. Its entry must be removed from the list. Otherwise each
// instance that starts would reserve a share of every rate for it.
func TestDeadInstanceIsRemovedFromList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 3, targets: 1})
		fleet.instances[2].kill()
		sleep(25 * time.Second)
		_, listed := fleet.store.Newest(instancesTopic, 0, fleet.instances[2].name)
		require.False(t, listed)
		_, listed = fleet.store.Newest(instancesTopic, 0, fleet.instances[1].name)
		require.True(t, listed)
		fleet.instances[2].start()
		sleep(2 * time.Second)
		_, listed = fleet.store.Newest(instancesTopic, 0, fleet.instances[2].name)
		require.True(t, listed)
	})
}

// A fleet that is large enough to use relays starts at once, and again after all instances
// were killed. At the start no relay knows any instance yet.
func TestLargeFleetThatStartsTogetherIsDiscovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 7, targets: 1})
		requireAllUp(t, fleet)
		fleet.killAll()
		fleet.startAll()
		fleet.awaitReady()
		requireAllUp(t, fleet)
	})
}

func requireAllUp(t *testing.T, fleet *testFleet) {
	t.Helper()
	for _, inst := range fleet.instances {
		for _, p := range inst.daemon.mesh.Peers() {
			require.Equal(t, mesh.Up, p.State, "%s at %s", p.Name, inst.name)
		}
		require.Len(t, inst.daemon.mesh.Peers(), len(fleet.instances)-1, inst.name)
	}
}
