package routed

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// isolateDomain separates a failure domain from all others and from the store.
func (fleet *testFleet) isolateDomain(domain string) (reconnect func()) {
	others := []string{storeIP}
	for _, inst := range fleet.instances {
		if inst.domain != domain {
			others = append(others, fleet.domainIPs(inst.domain)...)
		}
	}
	fleet.net.Part(fleet.domainIPs(domain), others)
	return func() { fleet.net.Join(fleet.domainIPs(domain), others) }
}

// A failure domain is isolated from the store and from all others, but callers still
// reach it. It can't store jobs. If its instances reported ready, the balancer would send
// jobs to them during the whole isolation, and each would be lost. A job that can't be
// stored must be rejected at once and not wait for the caller's timeout.
func TestIsolatedDomainRejectsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 2})
		reconnect := fleet.isolateDomain("d0")
		sleep(1200 * time.Millisecond)
		require.False(t, fleet.instances[0].ready())
		require.False(t, fleet.instances[1].ready())
		require.True(t, fleet.instances[2].ready())
		got := fleet.instances[0].send(batchJob("job", 2, 20))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Less(t, got.took, 50*time.Millisecond)
		retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retry, 0.2)
		require.Less(t, retry, 2.5)
		served := fleet.instances[0].send(callerRequest{id: "r", path: "/once/a/5", key: keyOne})
		require.Equal(t, streamBody("r", 5), served.body, "online requests are still served")
		require.Equal(t, http.StatusAccepted, fleet.instances[2].send(batchJob("job", 2, 20)).status)
		reconnect()
		sleep(1200 * time.Millisecond)
		require.True(t, fleet.instances[0].ready())
		require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob("next", 2, 20)).status)
	})
}

// The store and all other failure domains fail for a long time. The remaining instances
// can't tell this from a network partition, and callers can't use any other instance. So
// the instances must become ready again after maxUnready.
func TestLongIsolatedDomainBecomesReadyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 2})
		fleet.isolateDomain("d0")
		sleep(5 * time.Second)
		require.False(t, fleet.instances[0].ready())
		sleep(maxUnready)
		require.True(t, fleet.instances[0].ready())
		require.Equal(t, streamBody("r", 5), fleet.instances[0].send(callerRequest{id: "r", path: "/once/a/5", key: keyOne}).body)
		require.Equal(t, http.StatusServiceUnavailable, fleet.instances[0].send(batchJob("job", 2, 20)).status)
	})
}

// No instance can reach the store, so none can store jobs. All must stay ready:
// otherwise the balancer would find no instance for online requests either.
func TestInstancesStayReadyDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 2})
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
		for range 8 {
			sleep(500 * time.Millisecond)
			for _, inst := range fleet.instances {
				require.True(t, inst.ready(), inst.name)
			}
		}
	})
}

// A failure domain is isolated in a deployment without batch jobs. Its instances can serve
// all requests at the targets of the domain. If they became unready, their callers would
// overload the targets of the other domains.
func TestIsolatedDomainWithoutBatchRoutesStaysReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 2, targets: 2})
		fleet.configure(func(config map[string]any) { config["routes"] = config["routes"].([]any)[:2] })
		sleep(1500 * time.Millisecond)
		fleet.isolateDomain("d0")
		for range 6 {
			sleep(500 * time.Millisecond)
			require.True(t, fleet.instances[0].ready())
		}
	})
}
