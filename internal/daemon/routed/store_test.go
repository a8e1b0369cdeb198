package routed

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// The store turns one instance away, by an answer or by none, and serves the
// others. Callers of that instance must have their jobs accepted all the same,
// and soon: a job that is accepted late counts as late.
func TestJobIsAcceptedWhereTheStoreTurnsTheInstanceAway(t *testing.T) {
	for name, fault := range map[string]sharedstore.Fault{
		"busy": {Status: http.StatusServiceUnavailable}, "many": {Status: http.StatusTooManyRequests},
		"reset": {Reset: true}, "silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, size{domains: 2, nodes: 2, targets: 1})
				n := w.nodes[0]
				n.door.Set(fault)
				for _, wait := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
					pass(wait)
					id := "job-" + wait.String()
					got := n.send(jobOf(id, 2, 5))
					require.Equal(t, http.StatusAccepted, got.status, "%s", n.logs)
					require.Less(t, got.took, 250*time.Millisecond)
					w.requireWhole(id, w.nodes[3].allResults(id, 6*time.Second), 5)
				}
				n.door.Set(sharedstore.Fault{})
			})
		})
	}
}

// The whole store is away. Nothing can be accepted, and a refusal must say that
// nothing ran and come at once, so that the caller can come back.
func TestJobIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 1, nodes: 2, targets: 1})
		for _, n := range w.nodes {
			n.door.Set(sharedstore.Fault{Status: http.StatusServiceUnavailable})
		}
		pass(3 * time.Second)
		got := w.nodes[0].send(jobOf("job", 2, 5))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, got.took, 1500*time.Millisecond)
		for _, n := range w.nodes {
			n.door.Set(sharedstore.Fault{})
		}
		pass(3 * time.Second)
		require.Empty(t, w.runs(itemOf("job", 0)))
		require.Equal(t, http.StatusAccepted, w.nodes[0].send(jobOf("job", 2, 5)).status)
		w.requireWhole("job", w.nodes[1].allResults("job", 5*time.Second), 5)
	})
}
