package fleetview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
