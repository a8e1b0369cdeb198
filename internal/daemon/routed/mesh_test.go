package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
)

// All instances of a fleet start at the same moment, as after an outage. Each
// must know all others soon: one that knows too few leaves out their requests when
// it chooses targets, and runs items that they run.
func TestInstancesThatStartTogetherFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 3, targets: 1})
		requireAllUp(t, w)
	})
}

// An instance is gone for good. It must leave the list, or each instance that
// starts keeps a part of every rate for it.
func TestLostInstanceLeavesTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 3, targets: 1})
		w.nodes[2].kill()
		pass(25 * time.Second)
		_, listed := w.store.Newest(instancesTopic, 0, w.nodes[2].name)
		require.False(t, listed)
		_, listed = w.store.Newest(instancesTopic, 0, w.nodes[1].name)
		require.True(t, listed)
		w.nodes[2].start()
		pass(2 * time.Second)
		_, listed = w.store.Newest(instancesTopic, 0, w.nodes[2].name)
		require.True(t, listed)
	})
}

// A fleet that speaks through relays starts together, and again after all of it was
// killed. Nobody has a relay yet that knows anybody.
func TestLargeFleetThatStartsTogetherFindsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 7, targets: 1})
		requireAllUp(t, w)
		w.killAll()
		w.startAll()
		w.awaitReady()
		requireAllUp(t, w)
	})
}

func requireAllUp(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		for _, p := range n.daemon.mesh.Peers() {
			require.Equal(t, mesh.Up, p.State, "%s at %s", p.Name, n.name)
		}
		require.Len(t, n.daemon.mesh.Peers(), len(w.nodes)-1, n.name)
	}
}
