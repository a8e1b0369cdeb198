package routed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
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
		require.Zero(w.t, target.Kept(), "memory at %s that nobody freed", target.id)
		for _, run := range target.Runs() {
			if run.MovedBy != "" {
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
		for _, n := range w.nodes {
			n.kill()
		}
		pass(time.Second)
		for i := range 6 {
			w.targets[i].runAs(itemOf(ids[0], i), 400)
		}
		// A run that is no item of this system is nobody's to end.
		w.targets[0].occupy(1, 150)
		pass(400 * time.Millisecond)
		for _, n := range w.nodes {
			n.start()
		}
		pass(800 * time.Millisecond)
		require.Len(t, w.endedRuns(), 6)
		for _, id := range ids {
			w.requireWhole(id, w.nodes[4].allResults(id, 12*time.Second), 200)
		}
		for _, run := range w.runs("unknown-" + w.targets[0].id + "-0") {
			require.True(t, run.Whole)
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
		w.net.Part(w.domainIPs("d0"), w.domainIPs("d1"))
		cut := time.Now()
		pass(2 * time.Second)
		ended := w.endedRuns()
		require.NotEmpty(t, ended)
		for _, run := range ended {
			require.Less(t, run.Ended.Sub(cut), 1500*time.Millisecond)
		}
		w.net.Join(w.domainIPs("d0"), w.domainIPs("d1"))
		for _, n := range []*node{w.nodes[0], w.nodes[4]} {
			for i := range 4 {
				id := fmt.Sprintf("job-%s-%d", n.name, i)
				w.requireWhole(id, w.nodes[2].allResults(id, 40*time.Second), 300)
			}
		}
	})
}

// cutOff parts the instances of a failure domain from all others and from the store.
func (w *world) cutOff(domain string) (mend func()) {
	others := []string{storeIP}
	for _, n := range w.nodes {
		if n.domain != domain {
			others = append(others, w.domainIPs(n.domain)...)
		}
	}
	w.net.Part(w.domainIPs(domain), others)
	return func() { w.net.Join(w.domainIPs(domain), others) }
}

// A failure domain is cut off from the store and from all others, and callers still
// reach it. It can keep no job. Were it ready, the balancer would send it jobs until
// the cut ends, and each would be lost; and a job that is known not to be kept must
// not wait for its caller's end.
func TestDomainThatIsCutOffSendsJobsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		mend := w.cutOff("d0")
		pass(1200 * time.Millisecond)
		require.False(t, w.nodes[0].ready())
		require.False(t, w.nodes[1].ready())
		require.True(t, w.nodes[2].ready())
		got := w.nodes[0].send(jobOf("job", 2, 20))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Less(t, got.took, 50*time.Millisecond)
		retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retry, 0.2)
		require.Less(t, retry, 2.5)
		served := w.nodes[0].send(ask{id: "r", path: "/once/a/5", key: keyOne})
		require.Equal(t, stream("r", 5), served.body, "it serves whom it can")
		require.Equal(t, http.StatusAccepted, w.nodes[2].send(jobOf("job", 2, 20)).status)
		mend()
		pass(1200 * time.Millisecond)
		require.True(t, w.nodes[0].ready())
		require.Equal(t, http.StatusAccepted, w.nodes[0].send(jobOf("next", 2, 20)).status)
	})
}

// The store is away for everybody. No instance could keep a job, so none may send its
// callers away: the balancer would find nobody for online requests either.
func TestInstancesStayReadyWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		for _, n := range w.nodes {
			n.door.Set(sharedstore.Fault{Silent: true})
		}
		for range 8 {
			pass(500 * time.Millisecond)
			for _, n := range w.nodes {
				require.True(t, n.ready(), n.name)
			}
		}
	})
}
