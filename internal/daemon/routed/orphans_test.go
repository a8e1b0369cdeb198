package routed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
)

// startOrphanRun starts the run of an item at a target on behalf of an instance that no
// longer exists.
func (t *target) startOrphanRun(item string, events int) {
	t.fleet.background.Go(func() {
		client := t.fleet.client()
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithCancel(t.fleet.ctx)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:8000/jobs/x/%d", t.ip, events), nil)
		require.NoError(t.fleet.t, err)
		request.Header.Set("Request-Id", item)
		response, err := client.Do(request)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	})
}

// endedRuns returns the runs that were ended at their targets, and requires that the
// memory of each was freed.
func (fleet *testFleet) endedRuns() (ended []engine.Run) {
	for _, target := range fleet.targets {
		require.Zero(fleet.t, target.Kept(), "memory at %s was not freed", target.id)
		for _, run := range target.Runs() {
			if run.MovedBy != "" {
				ended = append(ended, run)
			}
		}
	}
	return ended
}

// All instances lose power at once. No connection is closed, so the targets keep running
// the items of those instances. When callers return, these orphan runs would occupy slots
// until the items are finished.
func TestOrphanRunsAfterPowerLossAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 3, targets: 3})
		ids := fleet.submit(fleet.instances[0], 2, 6, 200)
		sleep(300 * time.Millisecond)
		fleet.killAll()
		sleep(time.Second)
		for i := range 6 {
			fleet.targets[i].startOrphanRun(itemID(ids[0], i), 400)
		}
		// A run that is not an item of a known job must not be ended.
		fleet.targets[0].startUnknownRuns(1, 150)
		sleep(400 * time.Millisecond)
		fleet.startAll()
		sleep(800 * time.Millisecond)
		require.Len(t, fleet.endedRuns(), 6)
		for _, id := range ids {
			fleet.requireComplete(id, fleet.instances[4].allResults(id, 12*time.Second), 200)
		}
		for _, run := range fleet.runsOf("unknown-" + fleet.targets[0].id + "-0") {
			require.True(t, run.Whole)
		}
	})
}

// A network partition separates two failure domains for seconds. Targets on either side
// keep running items of the other side, although their output can't be delivered, and
// online requests wait for the slots.
func TestOrphanRunsAfterNetworkPartitionAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 2, instances: 3, targets: 3})
		for _, inst := range []*testInstance{fleet.instances[0], fleet.instances[4]} {
			fleet.submit(inst, 4, 9, 300)
		}
		sleep(time.Second)
		fleet.net.Part(fleet.domainIPs("d0"), fleet.domainIPs("d1"))
		cut := time.Now()
		sleep(2 * time.Second)
		ended := fleet.endedRuns()
		require.NotEmpty(t, ended)
		for _, run := range ended {
			require.Less(t, run.Ended.Sub(cut), 1500*time.Millisecond)
		}
		fleet.net.Join(fleet.domainIPs("d0"), fleet.domainIPs("d1"))
		for _, inst := range []*testInstance{fleet.instances[0], fleet.instances[4]} {
			for i := range 4 {
				id := fmt.Sprintf("job-%s-%d", inst.name, i)
				fleet.requireComplete(id, fleet.instances[2].allResults(id, 40*time.Second), 300)
			}
		}
	})
}
