package mesh

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A duty that falls to an instance with little processor slows down all that depend on it.
func TestStrongestInstanceComesFirst(t *testing.T) {
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
	for _, duty := range []string{"one", "two", "three", "four"} {
		slices.SortFunc(list, func(a, b Instance) int {
			if Rank(duty, a) < Rank(duty, b) {
				return -1
			}
			return 1
		})
		for place, i := range list {
			require.Equal(t, place < 4, i.Strength == CapacityOf(0.8), "%s at %d", i.Name, place)
		}
		firstOf[list[0].Name] = duty
	}
	require.Greater(t, len(firstOf), 1, "duties are spread over equal ones")
}

// Strength goes in steps of half as much again, so that instances of about the same
// processor share the duties.
func TestStrengthGoesInCoarseSteps(t *testing.T) {
	require.Equal(t, CapacityOf(0.7), CapacityOf(0.8))
	require.Equal(t, CapacityOf(1)+1, CapacityOf(1.5))
	require.Less(t, CapacityOf(0.192), CapacityOf(0.8))
	require.Less(t, CapacityOf(1), CapacityOf(2))
	require.Zero(t, CapacityOf(0))
}
