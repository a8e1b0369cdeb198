package routed

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance is told to stop while callers go on sending on the connections
// that they have. A request that it takes shortly before its process ends is cut
// in the middle of its answer; the caller may not repeat it and stands there with
// half a summary.
func TestShutdownCutsNoRequestOnKeptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 2, targets: 2})
		n := w.nodes[0]
		var callers sync.WaitGroup
		for c := range 6 {
			callers.Go(func() {
				pass(time.Duration(c) * 70 * time.Millisecond)
				client := w.client()
				defer client.CloseIdleConnections()
				for i := range 60 {
					id := fmt.Sprintf("call-%d-%d", c, i)
					got := n.sendBy(client, ask{id: id, path: "/once/a/35", key: keyOne})
					if len(w.runs(id)) == 0 {
						// The connection closed before the request was taken.
						require.Error(t, got.err)
						return
					}
					require.NoError(t, got.err, "%s was cut: %d of its events came\n%s", id, len(got.body), n.logs)
					require.Equal(t, http.StatusOK, got.status)
					// A caller that was told to use another connection does so,
					// and reaches this instance until the balancer has noticed.
				}
			})
		}
		pass(time.Second)
		began := time.Now()
		n.terminate()
		require.Less(t, time.Since(began), n.settings.Grace)
		callers.Wait()
	})
}

// A leaving instance holds partitions of jobs. Its items must go on elsewhere at
// once, or their results are late.
func TestShutdownHandsJobsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 3, targets: 2})
		for i := range 6 {
			require.Equal(t, http.StatusAccepted, w.nodes[1].send(jobOf(fmt.Sprint("job-", i), 3, 100)).status)
		}
		pass(time.Second)
		began := time.Now()
		go w.nodes[0].term()
		for i := range 6 {
			id := fmt.Sprint("job-", i)
			w.requireWhole(id, w.nodes[2].allResults(id, 15*time.Second), 100)
		}
		require.Less(t, time.Since(began), 8*time.Second)
	})
}
