package routed

import (
	"testing"
	"testing/synctest"
	"time"

	"merlintiller/internal/standin/sharedstore"
)

// After a restart of all instances the store answers the joins of one instance and rejects
// its loads. It owns partitions and never loads them. Guards against jobs that can't be read
// although all other instances reach the store.
func TestJobsCanBeReadWhileOneOwnerCannotLoad(t *testing.T) {
	for name, fault := range map[string]sharedstore.Fault{
		"control":       {},
		"loads refused": {RejectedCalls: []string{"log-newest"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize{domains: 2, instances: 4, targets: 2})
				fleet.instances[5].storeAccess.Set(fault)
				callers := &pollers{fleet: fleet, jobs: fleet.restartAll(1), since: time.Now()}
				fleet.store.SetReadBytesPerSecond(0)
				callers.run(recoveryTime + 5*time.Second)
				callers.requireReadable()
			})
		})
	}
}
