package routed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// drainPropagation is the time after which no request or item may start in a domain that
// operators have drained.
const drainPropagation = 5 * time.Second

// drain writes the operators' order to drain a failure domain. undrain deletes it.
func (fleet *testFleet) drain(domain string) {
	fleet.store.Put("keyed.op", "evacuate/"+domain, []byte("{}"))
}

func (fleet *testFleet) undrain(domain string) { fleet.store.Put("keyed.op", "evacuate/"+domain, nil) }

// runsInDomain counts the runs that started at the targets of a failure domain after a
// given time.
func (fleet *testFleet) runsInDomain(domain string, since time.Time) (count int) {
	for _, t := range fleet.targets {
		for _, run := range t.Runs() {
			if t.domain == domain && run.Began.After(since) {
				count++
			}
		}
	}
	return count
}

// sendToAll sends requests to each instance concurrently and requires that all succeed.
func (fleet *testFleet) sendToAll(name string, perInstance int) {
	fleet.t.Helper()
	replies := make(chan callerResponse)
	for _, inst := range fleet.instances {
		for i := range perInstance {
			go func() {
				replies <- inst.send(callerRequest{id: fmt.Sprint(name, "-", inst.name, "-", i), path: "/once/x/5", key: keyOne})
			}()
		}
	}
	for range perInstance * len(fleet.instances) {
		got := <-replies
		require.NoError(fleet.t, got.err)
		require.Equal(fleet.t, 200, got.status)
	}
}

// Guards against requests and items that start in a drained failure domain: through an
// instance that can't reach the store, after the store has lost the operators' records,
// and through an instance that starts during the drain.
func TestNothingStartsInDrainedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 2, targets: 2})
		fleet.instances[0].storeAccess.Set(sharedstore.Fault{Refuse: 503})
		fleet.sendToAll("before", 4)
		require.NotZero(t, fleet.runsInDomain("d1", time.Time{}))
		require.Equal(t, 202, fleet.instances[1].send(batchJob("job", 30, 40)).status)
		fleet.drain("d1")
		sleep(drainPropagation)
		drained := time.Now()
		fleet.store.Forget("keyed.op")
		fleet.instances[3].kill()
		fleet.instances[3].start()
		sleep(2 * time.Second)
		fleet.sendToAll("while", 8)
		fleet.requireComplete("job", fleet.instances[1].allResults("job", 10*time.Second), 40)
		require.Zero(t, fleet.runsInDomain("d1", drained))

		fleet.undrain("d1")
		sleep(drainPropagation)
		back := time.Now()
		fleet.sendToAll("after", 8)
		require.NotZero(t, fleet.runsInDomain("d1", back))
	})
}

// Guards against requests that wait, or are sent to a target, while every failure domain
// is drained. They must be rejected at once with a Retry-After header.
func TestRequestIsRejectedAtOnceWhileAllDomainsAreDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 1, targets: 1})
		fleet.drain("d0")
		fleet.drain("d1")
		sleep(drainPropagation)
		got := fleet.instances[0].send(callerRequest{id: "r", path: "/once/x/5", key: keyOne})
		require.Equal(t, 503, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, got.took, 100*time.Millisecond)
		require.Empty(t, fleet.runsOf("r"))
	})
}

// Guards against a large fleet in which only relays learn of a drain or of its end.
func TestDrainReachesLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 7, targets: 1})
		for _, inst := range fleet.instances[:12] {
			inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
		fleet.drain("d2")
		sleep(drainPropagation)
		for _, inst := range fleet.instances {
			require.Equal(t, []string{"d2"}, inst.daemon.view.Drains().Domains, inst.name)
		}
		fleet.undrain("d2")
		sleep(drainPropagation)
		for _, inst := range fleet.instances {
			require.Empty(t, inst.daemon.view.Drains().Domains, inst.name)
			inst.storeAccess.Set(sharedstore.Fault{})
		}
	})
}
