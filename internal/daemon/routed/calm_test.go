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

// TestCalmDay plays a small day: online streams at all instances, a job that is
// read at another instance than the one that took it, and a new configuration.
func TestCalmDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 2, targets: 2})
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				pass(time.Duration(i) * 20 * time.Millisecond)
				id := fmt.Sprint("call-", i)
				path := []string{"/once/a/12?x=%2F1", "/again/b/12?y=1"}[i%2]
				got := w.nodes[i%len(w.nodes)].send(ask{id: id, path: path, key: keyOne, body: "ask " + id})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, stream(id, 12), got.body)
				require.Equal(t, "seal-"+id, got.header.Get("Response-Seal"))
				require.Less(t, got.firstByte, 100*time.Millisecond)
				runs := w.runs(id)
				require.Len(t, runs, 1)
				require.Equal(t, "one", runs[0].Organisation)
				require.Equal(t, path, runs[0].Path)
				require.Equal(t, "ask "+id, runs[0].Body)
				require.False(t, runs[0].HasAuthorization)
			})
		}
		accepted := w.nodes[0].send(jobOf("job", 8, 50))
		require.NoError(t, accepted.err)
		require.Equal(t, http.StatusAccepted, accepted.status, w.nodes[0].logs)
		repeated := w.nodes[3].send(jobOf("job", 8, 50))
		require.Equal(t, http.StatusAccepted, repeated.status)
		body := w.nodes[4].send(ask{method: http.MethodGet, path: "/items/job?id=" + itemOf("job", 2), key: keyOne})
		require.Equal(t, "body of "+itemOf("job", 2), body.body)
		w.requireWhole("job", w.nodes[5].allResults("job", 10*time.Second), 50)
		callers.Wait()
		again := w.nodes[2].allResults("job", time.Second)
		require.Equal(t, again, w.nodes[1].allResults("job", time.Second))
		for n := range 8 {
			require.Len(t, w.runs(itemOf("job", n)), 1)
		}
	})
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 2, targets: 1})
		n := w.nodes[1]
		require.Equal(t, http.StatusNotFound, n.send(ask{id: "a", path: "/nowhere/1", key: keyOne}).status)
		require.Equal(t, http.StatusUnauthorized, n.send(ask{id: "b", path: "/once/1"}).status)
		require.Equal(t, http.StatusUnauthorized, n.send(ask{id: "c", path: "/once/1", key: "secret-of-nobody"}).status)
		require.Equal(t, http.StatusNotFound, n.send(ask{method: http.MethodGet, path: "/lots/none?after=0", key: keyOne}).status)
		require.Equal(t, http.StatusAccepted, n.send(jobOf("mine", 1, 1)).status)
		require.Equal(t, http.StatusNotFound, n.send(ask{method: http.MethodGet, path: "/lots/mine?after=0", key: keyTwo}).status)
		require.Equal(t, http.StatusBadRequest, n.send(ask{id: "d", path: "/jobs/x", key: keyOne, body: "{"}).status)
		require.Equal(t, http.StatusBadRequest, n.send(jobOf("large", 201, 1)).status)
		require.Empty(t, w.runs("b"))
		require.Empty(t, w.runs("c"))

		// A key that is withdrawn stops working; a route that is added works.
		w.configure(func(config map[string]any) {
			config["tenants"] = config["tenants"].([]any)[:1]
			routes := config["routes"].([]any)
			added := map[string]any{}
			for name, value := range routes[0].(map[string]any) {
				added[name] = value
			}
			added["path_prefix"] = "/added/"
			config["routes"] = append(routes, added)
		})
		pass(500 * time.Millisecond)
		for _, n := range w.nodes {
			require.Equal(t, http.StatusUnauthorized, n.send(ask{id: "e" + n.name, path: "/once/1", key: keyTwo}).status)
			require.Equal(t, http.StatusOK, n.send(ask{id: "f" + n.name, path: "/added/1", key: keyOne}).status)
		}
	})
}

// A caller comes before its instance knows any configuration, and asks afterwards why
// it was refused. The line must have its request's id.
func TestRefusalBeforeTheFirstConfigurationNamesTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 1, targets: 1})
		n := w.nodes[0]
		n.kill()
		n.door.Set(sharedstore.Fault{Silent: true})
		n.start()
		pass(100 * time.Millisecond)
		got := n.send(ask{id: "early", path: "/once/1", key: keyOne})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Contains(t, n.logs.String(), "event=request request=early route= organisation= config=0 outcome=refused reason=no_config")
	})
}
