package fleetview

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/roster"
)

// Guards against instances of two releases that fetch the list of targets from each other
// again and again during an update, because they digest it differently.
func TestDigestIsThatOfEarlierReleases(t *testing.T) {
	const ofEarlierRelease = 0x2164b9f4a970e171
	list := []roster.Target{
		{ID: "t-1", Service: "svc", Address: "10.0.2.1:8000", Domain: "d0", Slots: 8, Started: 1764800000000, WarmUp: time.Second},
		{ID: "t-2", Service: "svc", Address: "10.0.2.2:8000", Domain: "d1", Slots: 4, Leaving: true, Started: 1764800000001, HealthPath: "/health"},
	}
	require.EqualValues(t, uint64(ofEarlierRelease), digestOf(list))
	list[0].Version = "v1.2"
	require.EqualValues(t, uint64(ofEarlierRelease), digestOf(list), "a release that does not know the version")
	list[0].Slots = 9
	require.NotEqualValues(t, uint64(ofEarlierRelease), digestOf(list))
}

// Guards against targets whose version is lost, or never known, because a peer of an earlier
// release sent the list without versions: known ones are kept, and the list is read for the others
// though peers send it.
func TestListOfEarlierReleaseKeepsKnownVersions(t *testing.T) {
	var listed []roster.Target
	view := New(Options{
		Logger: log.NewNopLogger(), OnTargets: func(int64, []roster.Target) {}, OnListed: func(list []roster.Target) { listed = list },
		TargetsFromPeers: func() bool { return true },
	})
	view.AdoptTargets([]roster.Target{{ID: "a", Started: 1, Version: "v1"}, {ID: "b", Started: 1, Version: "v1"}}, 1, "peer")
	require.True(t, view.targetsFromPeers())
	view.AdoptTargets([]roster.Target{{ID: "a", Started: 1}, {ID: "b", Started: 2}, {ID: "c", Started: 1}}, 2, "peer")
	require.False(t, view.targetsFromPeers(), "the list has to be read")
	require.Equal(t, "v1", listed[0].Version)
	require.Empty(t, listed[1].Version, "started again")
	require.Empty(t, listed[2].Version)
	view.AdoptTargets([]roster.Target{{ID: "a", Started: 1, Version: "v1"}, {ID: "b", Started: 2, Version: "v2"}, {ID: "c", Started: 1, Version: "v2"}}, 3, "peer")
	require.True(t, view.targetsFromPeers())
}

// Guards against a list that seems current after a pause or an outage.
func TestListAgeCountsFromLastRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := New(Options{Logger: log.NewNopLogger(), OnTargets: func(int64, []roster.Target) {}})
		require.Greater(t, view.ListAge(), time.Minute)
		view.loadTargets(external.KeyedPage{End: 1, Next: 1})
		require.Zero(t, view.ListAge())
		time.Sleep(4 * time.Second)
		view.StoreAnswered()
		require.Equal(t, 4*time.Second, view.ListAge(), "another read than that of the list")
		view.applyTargets(external.KeyedPage{End: 1, Next: 1})
		require.Zero(t, view.ListAge())
	})
}
