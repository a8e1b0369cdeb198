package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "wide", Host: "a.example", Prefix: "/x/"},
		{Name: "narrow", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for path, want := range map[string]string{"/x/1": "wide", "/x/y": "wide", "/x/y/1": "narrow", "/x/y/z/1": "narrow"} {
		r, ok := table.Match("A.example:80", path)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}
	_, ok := table.Match("a.example", "/x")
	require.False(t, ok)
	_, ok = table.Match("c.example", "/x/1")
	require.False(t, ok)
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Split: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 10_000 {
		service, ok := r.Choose(fmt.Sprint("request-", i))
		require.True(t, ok)
		counts[service]++
	}
	require.InDelta(t, 9_000, counts["a"], 200)
	require.InDelta(t, 1_000, counts["b"], 200)
	require.Zero(t, counts["c"])
	_, ok := (&Route{Split: []WeightedService{{Service: "a"}}}).Choose("x")
	require.False(t, ok)
}

func TestOrganisationBySecret(t *testing.T) {
	table := NewTable(Config{Organisations: []Organisation{{Name: "one", Secrets: []string{"s1", "s2"}}, {Name: "two"}}})
	caller, ok := table.OrganisationBySecret("s2")
	require.True(t, ok)
	require.Equal(t, "one", caller.Name)
	_, ok = table.OrganisationBySecret("")
	require.False(t, ok)
	require.True(t, table.RequiresKey())
	require.False(t, NewTable(Config{}).RequiresKey())
}

// Guards against organisations without a rate that get no share of scarce slots, or all of them.
func TestWeightIsRateOrMeanRate(t *testing.T) {
	table := NewTable(Config{Organisations: []Organisation{{Name: "a", Rate: 10}, {Name: "b", Rate: 30}, {Name: "c"}}})
	for name, want := range map[string]float64{"a": 10, "b": 30, "c": 20} {
		organisation, ok := table.Organisation(name)
		require.True(t, ok)
		require.InDelta(t, want, table.Weight(organisation), 0, name)
	}
	require.InDelta(t, 20, table.Weight(nil), 0)
	require.InDelta(t, 1, NewTable(Config{}).Weight(nil), 0)
}
