package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// leavingAt says whether an instance knows that a target leaves.
func (n *node) leavingAt(id string) bool {
	list, _, _ := n.daemon.view.TargetsNewerThan(-1)
	for _, t := range list {
		if t.ID == id {
			return t.Leaving
		}
	}
	return true
}

// leave has a target say that it leaves.
func (t *target) leave() {
	t.state = "draining"
	t.enter()
}

func (w *world) followers() (found []*node) {
	for _, n := range w.nodes {
		if n.daemon.mesh.GetsTargetListFromRelay() {
			found = append(found, n)
		}
	}
	return found
}

// In a large fleet the list of targets is read by the relays, and the others learn from
// them what changes. A leaving target must be left as soon as in a small fleet, also when
// those who read the list have just died, or requests are cut by its end.
func TestFollowersLearnOfLeavingTargets(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 7, targets: 2})
		pass(time.Second)
		followers := w.followers()
		require.Len(t, followers, 15, "two of seven are relays")
		w.targets[0].leave()
		pass(bound)
		for _, n := range w.nodes {
			require.True(t, n.leavingAt(w.targets[0].id), n.name)
		}

		follows := map[*node]bool{}
		for _, n := range followers {
			follows[n] = true
		}
		for _, n := range w.nodes {
			if !follows[n] {
				n.kill()
			}
		}
		w.targets[1].leave()
		pass(bound)
		for _, n := range followers {
			require.True(t, n.leavingAt(w.targets[1].id), n.name)
		}
	})
}

// The store turns the relays away. The others must not rely on what these know, and read
// the list themselves.
func TestNobodyFollowsARelayWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 7, targets: 2})
		pass(time.Second)
		follows := map[*node]bool{}
		for _, n := range w.followers() {
			follows[n] = true
		}
		for _, n := range w.nodes {
			if !follows[n] {
				n.door.Set(sharedstore.Fault{Silent: true})
			}
		}
		// A read that is under way is still answered, within a second; an answer counts for
		// another one; and two messages to a relay may be 0.4 s apart.
		pass(3 * time.Second)
		require.Empty(t, w.followers())
		w.targets[0].leave()
		pass(2 * time.Second)
		for _, n := range w.nodes {
			require.True(t, n.leavingAt(w.targets[0].id), n.name)
		}
		for _, n := range w.nodes {
			n.door.Set(sharedstore.Fault{})
		}
	})
}
