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

// runAs has a target run an item as an instance would that is not there any more.
func (t *target) runAs(item string, events int) {
	t.world.ended.Go(func() {
		client := t.world.client()
		defer client.CloseIdleConnections()
		ctx, cancel := context.WithCancel(t.world.ctx)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:8000/jobs/x/%d", t.ip, events), nil)
		require.NoError(t.world.t, err)
		request.Header.Set("Request-Id", item)
		answer, err := client.Do(request)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	})
}

// ended gives the runs of items that were ended at their targets, and requires that
// the memory of each was freed.
func (w *world) endedRuns() (ended []engine.Run) {
	for _, target := range w.targets {
		require.Zero(w.t, target.UnreleasedHandles(), "memory at %s that nobody freed", target.id)
		for _, run := range target.Runs() {
			if run.MovedTo != "" {
				ended = append(ended, run)
			}
		}
	}
	return ended
}

// All instances lose their power at once. Their targets go on with the items that
// they ran, since no connection is closed, and callers come back to slots that are
// taken by nobody for as long as items take.
func TestRunsOfInstancesThatLostTheirPowerAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 3, targets: 3})
		ids := w.submit(w.nodes[0], 2, 6, 200)
		pass(300 * time.Millisecond)
		w.killAll()
		pass(time.Second)
		for i := range 6 {
			w.targets[i].runAs(itemOf(ids[0], i), 400)
		}
		// A run that is no item of this system is nobody's to end.
		w.targets[0].occupy(1, 150)
		pass(400 * time.Millisecond)
		w.startAll()
		pass(800 * time.Millisecond)
		require.Len(t, w.endedRuns(), 6)
		for _, id := range ids {
			w.requireWhole(id, w.nodes[4].allResults(id, 12*time.Second), 200)
		}
		for _, run := range w.runs("unknown-" + w.targets[0].id + "-0") {
			require.True(t, run.Complete)
		}
	})
}

// A failure domain is cut off for seconds. Targets on either side go on with the
// items of the other one, though nothing of them arrives, and online requests wait
// for the slots.
func TestRunsThatACutLeftBehindAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 3, targets: 3})
		for _, n := range []*node{w.nodes[0], w.nodes[4]} {
			w.submit(n, 4, 9, 300)
		}
		pass(time.Second)
		w.net.Partition(w.domainIPs("d0"), w.domainIPs("d1"))
		cut := time.Now()
		pass(2 * time.Second)
		ended := w.endedRuns()
		require.NotEmpty(t, ended)
		for _, run := range ended {
			require.Less(t, run.EndedAt.Sub(cut), 1500*time.Millisecond)
		}
		w.net.HealPartition(w.domainIPs("d0"), w.domainIPs("d1"))
		for _, n := range []*node{w.nodes[0], w.nodes[4]} {
			for i := range 4 {
				id := fmt.Sprintf("job-%s-%d", n.name, i)
				w.requireWhole(id, w.nodes[2].allResults(id, 40*time.Second), 300)
			}
		}
	})
}
