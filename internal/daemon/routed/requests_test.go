package routed

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// Tests a fleet without faults: online streams at all instances, and a job whose results
// are read at other instances than the one that accepted it.
func TestNormalOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 3, instances: 2, targets: 2})
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				sleep(time.Duration(i) * 20 * time.Millisecond)
				id := fmt.Sprint("call-", i)
				path := []string{"/once/a/12?x=%2F1", "/again/b/12?y=1"}[i%2]
				got := fleet.instances[i%len(fleet.instances)].send(callerRequest{id: id, path: path, key: keyOne, body: "ask " + id})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, streamBody(id, 12), got.body)
				require.Equal(t, "seal-"+id, got.header.Get("Response-Seal"))
				require.Less(t, got.firstByte, 100*time.Millisecond)
				runs := fleet.runsOf(id)
				require.Len(t, runs, 1)
				require.Equal(t, "one", runs[0].Organisation)
				require.Equal(t, path, runs[0].Path)
				require.Equal(t, "ask "+id, runs[0].Body)
				require.False(t, runs[0].KeyShown)
			})
		}
		accepted := fleet.instances[0].send(batchJob("job", 8, 50))
		require.NoError(t, accepted.err)
		require.Equal(t, http.StatusAccepted, accepted.status, fleet.instances[0].logs)
		repeated := fleet.instances[3].send(batchJob("job", 8, 50))
		require.Equal(t, http.StatusAccepted, repeated.status)
		body := fleet.instances[4].send(callerRequest{method: http.MethodGet, path: "/items/job?id=" + itemID("job", 2), key: keyOne})
		require.Equal(t, "body of "+itemID("job", 2), body.body)
		fleet.requireComplete("job", fleet.instances[5].allResults("job", 10*time.Second), 50)
		callers.Wait()
		results := fleet.instances[2].allResults("job", time.Second)
		require.Equal(t, results, fleet.instances[1].allResults("job", time.Second))
		for n := range 8 {
			require.Len(t, fleet.runsOf(itemID("job", n)), 1)
		}
	})
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 2, targets: 1})
		inst := fleet.instances[1]
		require.Equal(t, http.StatusNotFound, inst.send(callerRequest{id: "a", path: "/nowhere/1", key: keyOne}).status)
		require.Equal(t, http.StatusUnauthorized, inst.send(callerRequest{id: "b", path: "/once/1"}).status)
		require.Equal(t, http.StatusUnauthorized, inst.send(callerRequest{id: "c", path: "/once/1", key: "secret-of-nobody"}).status)
		require.Equal(t, http.StatusNotFound, inst.send(callerRequest{method: http.MethodGet, path: "/lots/none?after=0", key: keyOne}).status)
		require.Equal(t, http.StatusAccepted, inst.send(batchJob("mine", 1, 1)).status)
		require.Equal(t, http.StatusNotFound, inst.send(callerRequest{method: http.MethodGet, path: "/lots/mine?after=0", key: keyTwo}).status)
		require.Equal(t, http.StatusBadRequest, inst.send(callerRequest{id: "d", path: "/jobs/x", key: keyOne, body: "{"}).status)
		require.Equal(t, http.StatusBadRequest, inst.send(batchJob("large", 201, 1)).status)
		require.Empty(t, fleet.runsOf("b"))
		require.Empty(t, fleet.runsOf("c"))

		// A withdrawn key is rejected, and a new route is served.
		fleet.configure(func(config map[string]any) {
			config["tenants"] = config["tenants"].([]any)[:1]
			routes := config["routes"].([]any)
			added := map[string]any{}
			for name, value := range routes[0].(map[string]any) {
				added[name] = value
			}
			added["path_prefix"] = "/added/"
			config["routes"] = append(routes, added)
		})
		sleep(500 * time.Millisecond)
		for _, inst := range fleet.instances {
			require.Equal(t, http.StatusUnauthorized, inst.send(callerRequest{id: "e" + inst.name, path: "/once/1", key: keyTwo}).status)
			require.Equal(t, http.StatusOK, inst.send(callerRequest{id: "f" + inst.name, path: "/added/1", key: keyOne}).status)
		}
	})
}

// A request arrives before the instance has a configuration. The log line of the
// rejection must contain the request's id, so that an operator can explain it later.
func TestRejectionBeforeFirstConfigurationLogsRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 1, targets: 1})
		inst := fleet.instances[0]
		inst.kill()
		inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		inst.start()
		sleep(100 * time.Millisecond)
		got := inst.send(callerRequest{id: "early", path: "/once/1", key: keyOne})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Contains(t, inst.logs.String(), "event=request request=early route= organisation= config=0 outcome=refused reason=no_config")
	})
}
