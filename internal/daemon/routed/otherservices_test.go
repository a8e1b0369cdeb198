package routed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against accepted items that aren't run although their targets are idle, since older items of other
// services without targets wait.
func TestItemsOfServicesWithoutTargetsHoldUpNoOthers(t *testing.T) {
	for _, without := range []int{1, 6} {
		t.Run(fmt.Sprint(without), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize{domains: 3, instances: 1, targets: 2})
				fleet.configure(func(config map[string]any) {
					for n := range without {
						name := fmt.Sprint("gone-", n)
						config["services"] = append(config["services"].([]any), map[string]any{
							"name": name, "health_path": "/health", "max_conns": 300, "engine": map[string]any{"slots": 8},
						})
						config["routes"] = append(config["routes"].([]any), map[string]any{
							"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": "batch", "service": name,
							"target_latency_ms": 500, "result_due_ms": 18000, "retention_s": 60, "max_attempts": 3, "priority": 2,
						})
					}
				})
				sleep(3 * time.Second)
				const items = 4
				for round := range 4 {
					for n := range without {
						job := batchJob(fmt.Sprint("gone-", n, "-", round), items, 20)
						job.path = fmt.Sprint("/gone-", n, "/submit")
						require.Equal(t, http.StatusAccepted, fleet.instances[0].send(job).status)
					}
					require.Equal(t, http.StatusAccepted, fleet.instances[0].send(batchJob(fmt.Sprint("job-", round), items, 20)).status)
				}
				sleep(5 * time.Second)
				for round := range 4 {
					page, status := fleet.instances[1].results(fmt.Sprint("job-", round), 0)
					require.Equal(t, http.StatusOK, status)
					require.Len(t, page.Results, items, "job %d", round)
				}
			})
		})
	}
}
