package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_000, 0)

func ids(targets []Target) []string {
	out := []string{}
	for _, t := range targets {
		out = append(out, t.ID)
	}
	return out
}

// Guards against new requests to a target that is shutting down.
func TestLeavingTargetsAreListedAndNotUsed(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Put(1, Target{ID: "b", Leaving: true})
	require.Equal(t, []string{"a"}, ids(r.Usable(now)))
	require.Equal(t, []string{"a", "b"}, ids(r.All()))
	require.EqualValues(t, 2, r.Mark())
}

// Guards against rejecting all requests after a store outage: the store was unavailable
// for longer than entries live, and its list is empty on return although the targets
// serve. They are used during the grace period, except the one that was leaving.
func TestTargetsRemainUsableAfterStoreOutage(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Put(1, Target{ID: "b"})
	r.Put(2, Target{ID: "c", Leaving: true})
	until := now.Add(2 * time.Second)
	require.True(t, r.Replace(9, nil, until))
	require.Equal(t, []string{"a", "b"}, ids(r.Usable(now)))
	r.Put(9, Target{ID: "a"})
	require.Equal(t, []string{"a"}, ids(r.Usable(until)), "target b did not register again within the grace period")
	require.Equal(t, []string{"a"}, ids(r.Usable(now)))
}

// Guards against an older list, read by another instance, that brings back targets
// which a newer list lacks.
func TestOlderListIsIgnored(t *testing.T) {
	r := New()
	require.True(t, r.Replace(5, []Target{{ID: "a"}}, time.Time{}))
	require.False(t, r.Replace(4, []Target{{ID: "b"}}, time.Time{}))
	require.Equal(t, []string{"a"}, ids(r.Usable(now)))
}

// Guards against the use of a target whose entry cannot be read any more.
func TestTargetWithUnreadableEntryIsNotUsed(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Invalidate(1, "a")
	require.Empty(t, r.Usable(now))
	require.EqualValues(t, 2, r.Mark())
}

// Guards against targets without an entry that other instances take for listed ones.
func TestTargetWithoutEntryIsMarked(t *testing.T) {
	r := New()
	r.Put(0, Target{ID: "a"})
	r.Put(1, Target{ID: "b"})
	r.Remove(2, "a", now.Add(time.Second))
	usable := r.Usable(now)
	require.True(t, usable[0].Lapsed)
	require.False(t, usable[1].Lapsed)
	r.Put(3, Target{ID: "a"})
	require.False(t, r.Usable(now)[0].Lapsed, "it registered again")
}
