package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

func ids(targets []Target) []string {
	out := []string{}
	for _, t := range targets {
		out = append(out, t.ID)
	}
	return out
}

func TestLeavingTargetsAreListedAndNotUsed(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Put(1, Target{ID: "b", Leaving: true})
	require.Equal(t, []string{"a"}, ids(r.Usable(start)))
	require.Equal(t, []string{"a", "b"}, ids(r.All()))
	require.EqualValues(t, 2, r.Mark())
}

// The store was away for longer than entries last, and its list came back empty
// although the targets serve on. They are used for a while; the one that had
// said that it leaves is not.
func TestEntriesThatLapsedInAnOutageAreUsedForAWhile(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Put(1, Target{ID: "b"})
	r.Put(2, Target{ID: "c", Leaving: true})
	until := start.Add(2 * time.Second)
	require.True(t, r.Replace(9, nil, until))
	require.Equal(t, []string{"a", "b"}, ids(r.Usable(start)))
	r.Put(9, Target{ID: "a"})
	require.Equal(t, []string{"a"}, ids(r.Usable(until)), "the other one is gone")
	require.Equal(t, []string{"a"}, ids(r.Usable(start)))
}

// Two instances read the list at different moments. The older list must not
// bring back what the newer one dropped.
func TestOlderListChangesNothing(t *testing.T) {
	r := New()
	require.True(t, r.Replace(5, []Target{{ID: "a"}}, time.Time{}))
	require.False(t, r.Replace(4, []Target{{ID: "b"}}, time.Time{}))
	require.Equal(t, []string{"a"}, ids(r.Usable(start)))
}

func TestUnreadableEntryNamesNoTarget(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Invalidate(1, "a")
	require.Empty(t, r.Usable(start))
	require.EqualValues(t, 2, r.Mark())
}
