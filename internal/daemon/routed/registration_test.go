package routed

import (
	"net/http"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/standin/sharedstore"
)

var registrationFailed = regexp.MustCompile(`at=(\S+) .*event=registration_failed`)

// registrationFailures returns the times at which the instance's registration failed.
func (inst *testInstance) registrationFailures() (times []time.Time) {
	for _, match := range registrationFailed.FindAllStringSubmatch(inst.logs.String(), -1) {
		at, err := time.Parse(time.RFC3339Nano, match[1])
		require.NoError(inst.fleet.t, err)
		times = append(times, at)
	}
	return times
}

func (fleet *testFleet) rejectStoreCalls(reject bool) {
	fault := sharedstore.Fault{}
	if reject {
		fault.Status = http.StatusServiceUnavailable
	}
	for _, inst := range fleet.instances {
		inst.storeAccess.Set(fault)
	}
}

// Guards against an overload that feeds itself: a busy store rejects calls, and each
// instance repeats its read of all instances twice a second, at the same times as others.
func TestFailedRegistrationsSpreadOutAndBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 5, targets: 1})
		fleet.rejectStoreCalls(true)
		sleep(time.Minute)
		atOnce := map[time.Time]int{}
		for _, inst := range fleet.instances {
			failures := inst.registrationFailures()
			require.Greater(t, len(failures), 5, inst.name)
			require.Less(t, len(failures), 15, inst.name)
			for _, at := range failures {
				atOnce[at.Truncate(50*time.Millisecond)]++
			}
		}
		for at, count := range atOnce {
			require.Less(t, count, len(fleet.instances)/2, "failures at %s", at)
		}
	})
}

// Guards against an instance that stays unknown to others for seconds because the store
// rejected its calls when it started.
func TestInstanceIsListedSoonAfterStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 3, targets: 1})
		fleet.killAll()
		fleet.store.Put(instancesTopic, fleet.instances[0].name, nil)
		fleet.store.Put(instancesTopic, fleet.instances[1].name, nil)
		fleet.store.Put(instancesTopic, fleet.instances[2].name, nil)
		fleet.rejectStoreCalls(true)
		fleet.startAll()
		sleep(30 * time.Second)
		fleet.rejectStoreCalls(false)
		sleep(1300 * time.Millisecond)
		for _, inst := range fleet.instances {
			_, listed := fleet.store.Newest(instancesTopic, 0, inst.name)
			require.True(t, listed, inst.name)
		}
		sleep(1500 * time.Millisecond)
		requireAllUp(t, fleet)
	})
}

// Guards against instances that work without each other for seconds: after a restart of all
// the store accepts their entries, but serves no list for a while.
func TestInstancesDiscoverEachOtherSoonAfterListIsServed(t *testing.T) {
	for _, outage := range []time.Duration{20 * time.Second, 23 * time.Second, 26 * time.Second, 29 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
			fleet.killAll()
			for _, inst := range fleet.instances {
				inst.settings.Seeds = nil
				inst.storeAccess.Set(sharedstore.Fault{RejectedCalls: []string{"log-newest"}})
			}
			fleet.startAll()
			sleep(outage)
			fleet.rejectStoreCalls(false)
			sleep(3500 * time.Millisecond)
			requireAllUp(t, fleet)
		})
	}
}

// Guards against slow retries in a second outage: the delay is short again after a
// successful read.
func TestRegistrationRetriesAreShortAgainAfterSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
		inst := fleet.instances[0]
		for range 2 {
			fleet.rejectStoreCalls(true)
			before := len(inst.registrationFailures())
			sleep(time.Minute)
			failures := inst.registrationFailures()[before:]
			require.Less(t, failures[1].Sub(failures[0]), time.Second)
			fleet.rejectStoreCalls(false)
			sleep(15 * time.Second)
		}
	})
}

// Guards against a write with each retry of an instance that is listed already, but could
// not read the list yet.
func TestListedInstanceIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		inst := fleet.instances[0]
		inst.kill()
		before := fleet.store.CallCount("log-append")
		inst.storeAccess.Set(sharedstore.Fault{RejectedCalls: []string{"log-newest"}})
		inst.start()
		sleep(30 * time.Second)
		require.Equal(t, 1, fleet.store.CallCount("log-append")-before)
		require.Greater(t, len(inst.registrationFailures()), 10)
	})
}

// Guards against a started instance that does not know the others for as long as the store takes no
// writes, though it could read which others there are.
func TestListIsReadThoughTheOwnEntryIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 1})
		added := fleet.addInstance("n-new", "d1", "10.1.1.9")
		added.kill()
		added.storeAccess.Set(sharedstore.Fault{RejectedCalls: []string{"log-append"}})
		// Nobody answers at the seed.
		added.settings.Seeds = []string{"10.0.1.8:82"}
		added.start()
		sleep(time.Second)
		require.Len(t, added.daemon.mesh.Peers(), 4)
		require.NotEqual(t, quota.LevelsUnknown, added.daemon.limiter.LevelsFrom())
		require.NotEmpty(t, added.registrationFailures(), "the entry is still not written")
	})
}
