package routed

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// The store rejects the requests of one instance or does not respond to it, and serves the
// others. Jobs that are submitted to that instance must still be accepted, and without
// delay: a job that is accepted late counts as late.
func TestJobIsAcceptedAtInstanceWithoutStore(t *testing.T) {
	for name, fault := range map[string]sharedstore.Fault{
		"busy": {Refuse: http.StatusServiceUnavailable}, "many": {Refuse: http.StatusTooManyRequests},
		"reset": {Reset: true}, "silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 1})
				inst := fleet.instances[0]
				inst.storeAccess.Set(fault)
				for _, wait := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
					sleep(wait)
					id := "job-" + wait.String()
					got := inst.send(batchJob(id, 2, 5))
					require.Equal(t, http.StatusAccepted, got.status, "%s", inst.logs)
					require.Less(t, got.took, 250*time.Millisecond)
					fleet.requireComplete(id, fleet.instances[3].allResults(id, 6*time.Second), 5)
				}
				inst.storeAccess.Set(sharedstore.Fault{})
			})
		})
	}
}

// No instance can reach the store, so no job can be accepted. The rejection must arrive at
// once and say that nothing ran, so that the caller can retry.
func TestJobIsRejectedAtOnceDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{Refuse: http.StatusServiceUnavailable})
		}
		sleep(3 * time.Second)
		got := fleet.instances[0].send(batchJob("job", 2, 5))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, got.took, 1500*time.Millisecond)
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{})
		}
		sleep(3 * time.Second)
		require.Empty(t, fleet.runsOf(itemID("job", 0)))
		require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob("job", 2, 5)).status)
		fleet.requireComplete("job", fleet.instances[1].allResults("job", 5*time.Second), 5)
	})
}
