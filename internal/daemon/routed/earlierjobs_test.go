package routed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const otherKeyOfOne = "second-secret-of-one"

// withoutRoutes removes the routes of a configuration that have some of the given names.
func withoutRoutes(config map[string]any, names ...string) {
	var kept []any
	for _, route := range config["routes"].([]any) {
		removed := false
		for _, name := range names {
			removed = removed || route.(map[string]any)["name"] == name
		}
		if !removed {
			kept = append(kept, route)
		}
	}
	config["routes"] = kept
}

// streamingAt returns a route of online requests.
func streamingAt(prefix string) map[string]any {
	return map[string]any{
		"name": "taken-over", "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000,
		"target_latency_ms": 300, "gap_target_ms": 600, "priority": 0, "service": "svc", "max_attempts": 1,
	}
}

// configurationsAfterJobs change a configuration so that the host of accepted jobs has no route for jobs.
var configurationsAfterJobs = map[string]func(config map[string]any){
	"route removed": func(config map[string]any) { withoutRoutes(config, "jobs") },
	"all routes of the host": func(config map[string]any) {
		withoutRoutes(config, "jobs", "once", "again")
		elsewhere := streamingAt("/x/")
		elsewhere["host"] = "other.example"
		config["routes"] = []any{elsewhere}
	},
	"service and routes removed": func(config map[string]any) {
		config["routes"], config["services"] = []any{}, []any{}
	},
	"route takes online requests": func(config map[string]any) {
		withoutRoutes(config, "jobs")
		config["routes"] = append(config["routes"].([]any), streamingAt("/jobs/"))
	},
	"all paths take online requests": func(config map[string]any) {
		withoutRoutes(config, "jobs", "once", "again")
		config["routes"] = []any{streamingAt("/")}
	},
	"key replaced as well": func(config map[string]any) {
		withoutRoutes(config, "jobs")
		config["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{otherKeyOfOne}
	},
}

// Guards against accepted jobs that can't be read, cancelled or resubmitted once operators have removed their
// route, their host's routes, their service or a key, also after a restart of all instances, and against others
// that learn of them.
func TestJobsOutliveTheirRoute(t *testing.T) {
	for name, change := range configurationsAfterJobs {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", restart ", restart), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					fleet := newTestFleet(t, fleetSize{domains: 3, instances: 1, targets: 2})
					done := batchJob("job-done", 3, 10)
					require.Equal(t, http.StatusAccepted, fleet.instances[0].send(done).status)
					before := fleet.instances[1].allResults("job-done", 5*time.Second)
					fleet.requireComplete("job-done", before, 10)
					require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob("job-open", 3, 500)).status)
					sleep(500 * time.Millisecond)
					fleet.configure(change)
					key := keyOne
					if name == "key replaced as well" {
						key = otherKeyOfOne
					}
					sleep(2 * time.Second)
					if restart {
						fleet.killAll()
						sleep(500 * time.Millisecond)
						fleet.startAll()
						sleep(4 * time.Second)
					}
					takenOver := name == "all paths take online requests"
					for n, inst := range fleet.instances {
						call := func(method, path, key string) int {
							return inst.send(callerRequest{id: fmt.Sprint("c-", n), method: method, path: path, key: key}).status
						}
						got := inst.send(callerRequest{method: http.MethodGet, path: "/lots/job-done?after=0", key: key})
						require.Equal(t, http.StatusOK, got.status, inst.logs.String())
						require.Contains(t, got.body, `"total":3`)
						require.Contains(t, got.body, before.Results[0].Text[:10])
						require.Contains(t, inst.logs.String(), "event=request request=job-done ", "the line names the job")
						require.Equal(t, http.StatusOK, call(http.MethodGet, "/lots/job-open", key))
						if !restart {
							require.Equal(t, http.StatusOK, call(http.MethodGet, "/items/job-open?id="+itemID("job-open", 0), key))
						}
						if !takenOver {
							require.Equal(t, http.StatusNotFound, call(http.MethodGet, "/lots/never", key))
							require.Equal(t, http.StatusNotFound, call(http.MethodGet, "/items/never?id=x", key))
							require.Equal(t, http.StatusNotFound, call(http.MethodDelete, "/lots/never", key))
							require.Equal(t, http.StatusNotFound, call(http.MethodGet, "/lots/job-done", keyTwo))
							require.Equal(t, http.StatusNotFound, call(http.MethodDelete, "/lots/job-open", keyTwo))
							require.Equal(t, http.StatusNotFound, call(http.MethodGet, "/items/job-open?id="+itemID("job-open", 0), keyTwo))
						}
						require.Equal(t, http.StatusUnauthorized, call(http.MethodGet, "/lots/job-done", "unknown"))
					}
					if name != "route takes online requests" && !takenOver {
						repeated := done
						repeated.key = key
						require.Equal(t, http.StatusAccepted, fleet.instances[2].send(repeated).status)
						repeated.id = "job-new"
						require.Equal(t, http.StatusNotFound, fleet.instances[2].send(repeated).status)
					}
					for _, inst := range fleet.instances {
						got := inst.send(callerRequest{method: http.MethodDelete, path: "/lots/job-open", key: key})
						require.Equal(t, http.StatusOK, got.status)
					}
				})
			})
		}
	}
}

// Guards against requests of an ordinary route that are taken for calls on jobs, since their paths look like
// such calls, at a host that never had jobs.
func TestHostWithoutJobsRoutesAllItsPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 1, instances: 3, targets: 2})
		const otherHost = "other.example"
		fleet.configure(func(config map[string]any) {
			for _, prefix := range []string{"/lots/", "/items/"} {
				own := streamingAt(prefix)
				own["name"], own["host"] = "own"+prefix, otherHost
				config["routes"] = append(config["routes"].([]any), own)
			}
		})
		require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob("5", 1, 10)).status)
		sleep(3 * time.Second)
		for n, inst := range fleet.instances {
			// The path ends with the number of events.
			for _, path := range []string{"/lots/3", "/lots/5", "/items/4"} {
				id := fmt.Sprint("r-", n, path)
				got := inst.send(callerRequest{id: id, method: http.MethodGet, path: path, key: keyOne, host: otherHost})
				require.Equal(t, http.StatusOK, got.status, path)
				require.Contains(t, got.body, "data: "+id, path)
			}
			require.Equal(t, http.StatusOK, inst.send(callerRequest{method: http.MethodGet, path: "/lots/5", key: keyOne}).status)
		}
	})
}
