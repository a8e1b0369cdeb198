package mesh

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against giving a role to an instance with little processor capacity, which would
// slow down all instances that depend on it.
func TestRankPrefersHighestCapacity(t *testing.T) {
	var list []Instance
	for n := range 20 {
		i := instance("a", n)
		i.Strength = CapacityOf(0.2)
		if n%5 == 0 {
			i.Strength = CapacityOf(0.8)
		}
		list = append(list, i)
	}
	firstOf := map[string]string{}
	for _, role := range []string{"one", "two", "three", "four"} {
		slices.SortFunc(list, func(a, b Instance) int {
			if Rank(role, a) < Rank(role, b) {
				return -1
			}
			return 1
		})
		for place, i := range list {
			require.Equal(t, place < 4, i.Strength == CapacityOf(0.8), "%s at %d", i.Name, place)
		}
		firstOf[list[0].Name] = role
	}
	require.Greater(t, len(firstOf), 1, "roles are spread over instances of equal capacity")
}

// The capacity scale has steps of half as much again, so that instances with similar
// processors share the roles.
func TestCapacityUsesCoarseSteps(t *testing.T) {
	require.Equal(t, CapacityOf(0.7), CapacityOf(0.8))
	require.Equal(t, CapacityOf(1)+1, CapacityOf(1.5))
	require.Less(t, CapacityOf(0.192), CapacityOf(0.8))
	require.Less(t, CapacityOf(1), CapacityOf(2))
	require.Zero(t, CapacityOf(0))
}
