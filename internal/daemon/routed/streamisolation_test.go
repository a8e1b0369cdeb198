package routed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// isolatedForLong is a time for which a failure domain is isolated: longer than the versions in it are remembered by the
// list of targets alone.
const isolatedForLong = 45 * time.Second

// newFleetWithIsolatedVersion starts a fleet in which the version v1 serves only in d0 and v2 in the other failure
// domains. d0 is isolated, and its targets' entries have lapsed for longer than any stream lasts.
func newFleetWithIsolatedVersion(t *testing.T) (fleet *testFleet, reconnect func()) {
	t.Helper()
	fleet = newVersionedFleet(t, 3, 1, nil, nil)
	for d, version := range []string{"v1", "v2", "v2"} {
		fleet.versionedTarget(fmt.Sprintf("t-%d", d), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.1", d), version, nil)
	}
	sleep(runsForLong)
	inside, outside := fleet.domainAddresses("d0")
	fleet.net.Partition(inside, outside)
	sleep(3600 * time.Millisecond)
	fleet.forVersion("v1", (*target).unlist)
	sleep(isolatedForLong)
	return fleet, func() { fleet.net.HealPartition(inside, outside) }
}

// Guards against streams of two versions after one version has served only in a failure domain that was isolated for so
// long that its entries lapsed: the instances outside have not seen that version for longer than streams last.
func TestStreamsOfIsolatedDomainAreNotContinuedAtAnotherVersion(t *testing.T) {
	const count, events = 8, 60
	for name, change := range map[string]struct {
		before func(fleet *testFleet)
		after  func(fleet *testFleet, reconnect func())
	}{
		"still isolated": {},
		"reconnected":    {after: func(_ *testFleet, reconnect func()) { reconnect() }},
		"still isolated after a restart of all": {after: func(fleet *testFleet, _ func()) {
			fleet.killAll()
			fleet.startAll()
			sleep(3 * time.Second)
		}},
		"still isolated long after a restart of the others": {before: func(fleet *testFleet) {
			for _, inst := range fleet.instances[1:] {
				inst.kill()
				inst.start()
			}
			sleep(runsForLong)
		}},
		"reconnected during a restart of all": {after: func(fleet *testFleet, reconnect func()) {
			fleet.killAll()
			reconnect()
			fleet.startAll()
			fleet.awaitReady()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, reconnect := newFleetWithIsolatedVersion(t)
				if change.before != nil {
					change.before(fleet)
				}
				streams, ended := beginStreams(t, fleet.instances[0], count, events, 500*time.Millisecond)
				if change.after != nil {
					change.after(fleet, reconnect)
				}
				<-ended
				for _, stream := range streams {
					require.Equal(t, []string{"v1"}, stream.versions())
				}
				takeUp(t, fleet.instances[1], streams, events)
			})
		})
	}
}

// Guards against streams that can't be taken up while a failure domain is isolated though their service has one version: at
// least half as large a share goes on as of the new ones begins.
func TestStreamsOfOneVersionGoOnBesideIsolatedDomain(t *testing.T) {
	const count, events = 12, 60
	for name, restart := range map[string]func(fleet *testFleet){
		"by instances that have run": func(*testFleet) {},
		"after a restart of all": func(fleet *testFleet) {
			fleet.killAll()
			fleet.startAll()
			sleep(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v1"}, nil)
				sleep(runsForLong)
				fleet.net.Partition(fleet.domainAddresses("d0"))
				sleep(isolatedForLong)
				streams, ended := beginStreams(t, fleet.instances[2], count, events, 500*time.Millisecond)
				restart(fleet)
				<-ended
				fresh, freshEnded := beginStreams(t, fleet.instances[2], count, events, time.Second)
				begun := 0
				for _, stream := range fresh {
					if len(stream.statuses) == 0 || stream.statuses[0] == http.StatusOK {
						begun++
					}
				}
				<-freshEnded
				wentOn := takeUp(t, fleet.instances[1], streams, events)
				t.Logf("%d of %d went on, %d of %d new ones began", wentOn, count, begun, count)
				require.GreaterOrEqual(t, wentOn, begun/2)
			})
		})
	}
}

// Guards against streams of an isolated failure domain that can't be taken up elsewhere though the other version had left before the
// isolation.
func TestStreamsOfIsolatedDomainGoOnIfOtherVersionLeftBefore(t *testing.T) {
	const count, events = 12, 60
	synctest.Test(t, func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 1, []string{"v1", "v2"}, nil)
		sleep(runsForLong)
		fleet.forVersion("v1", (*target).startLeaving)
		sleep(time.Second)
		fleet.forVersion("v1", (*target).removeForGood)
		sleep(5 * time.Second)
		fleet.net.Partition(fleet.domainAddresses("d0"))
		sleep(runsForLong)
		streams, ended := beginStreams(t, fleet.instances[0], count, events, 500*time.Millisecond)
		<-ended
		require.Equal(t, count, takeUp(t, fleet.instances[1], streams, events))
	})
}
