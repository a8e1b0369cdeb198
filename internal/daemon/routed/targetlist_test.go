package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/roster"
)

// Guards against the planned end of a target that counts as a crash, and against crashes of targets that
// this instance has not yet read from the list.
func TestLeavingTargetsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list targetList
		require.False(t, list.leaving("a"))
		list.set([]roster.Target{{ID: "a"}, {ID: "b", Leaving: true}, {ID: "c"}})
		require.False(t, list.leaving("a"))
		require.True(t, list.leaving("b"))
		require.False(t, list.leaving("not-read-yet"))
		list.set([]roster.Target{{ID: "a"}, {ID: "b", Leaving: true}})
		require.True(t, list.leaving("c"), "removed without a notice")
		list.set([]roster.Target{{ID: "a"}, {ID: "c"}})
		require.False(t, list.leaving("c"), "listed again")
		require.True(t, list.leaving("b"))
		time.Sleep(2 * leftTargetTTL)
		list.set([]roster.Target{{ID: "a"}, {ID: "c"}})
		require.False(t, list.leaving("b"))
	})
}

// Guards against a process that counts as leaving since the one before it under the same id did, and against a
// leaving target of which it is forgotten since when it leaves.
func TestIncarnationsAreKnownToLeaveSinceTheyWereListedSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list targetList
		start := time.Now()
		list.set([]roster.Target{{ID: "a", Started: 1}, {ID: "b", Started: 1, Leaving: true}})
		_, ok := list.leaves("a", 1)
		require.False(t, ok)
		time.Sleep(time.Second)
		list.set(nil)
		for target, since := range map[string]time.Time{"a": start.Add(time.Second), "b": start} {
			got, ok := list.leaves(target, 1)
			require.True(t, ok, target)
			require.Equal(t, since, got, target)
		}
		list.set([]roster.Target{{ID: "a", Started: 2}, {ID: "b", Started: 1}})
		_, ok = list.leaves("a", 2)
		require.False(t, ok, "another process")
		_, ok = list.leaves("b", 1)
		require.False(t, ok, "listed again")
		time.Sleep(2 * leftTargetTTL)
		list.set([]roster.Target{{ID: "b", Started: 1}})
		_, ok = list.leaves("a", 1)
		require.False(t, ok, "forgotten")
	})
}

// Guards against a target that is back at once under another id and does not count as crashed.
func TestReplacedTargetsAreTold(t *testing.T) {
	var list targetList
	list.set([]roster.Target{{ID: "a", Address: "10.0.0.1:80", Started: 5}, {ID: "b", Address: "10.0.0.1:80", Started: 9}})
	require.True(t, list.replaced("10.0.0.1:80", 5))
	require.False(t, list.replaced("10.0.0.1:80", 9))
	require.False(t, list.replaced("10.0.0.2:80", 5))
}
