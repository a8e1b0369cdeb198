package routed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/sharedstore"
)

// drainBound is how long after its order nothing new may begin in a drained domain.
const drainBound = 5 * time.Second

// drain has operators drain a failure domain, undrain takes that back.
func (w *world) drain(domain string) { w.store.Put("keyed.op", "evacuate/"+domain, []byte("{}")) }

func (w *world) undrain(domain string) { w.store.Put("keyed.op", "evacuate/"+domain, nil) }

// ranIn counts what began at the targets of a failure domain since a moment.
func (w *world) ranIn(domain string, since time.Time) (count int) {
	for _, t := range w.targets {
		for _, run := range t.Runs() {
			if t.domain == domain && run.StartedAt.After(since) {
				count++
			}
		}
	}
	return count
}

// askAll has each instance serve some requests, all at once.
func (w *world) askAll(name string, each int) {
	w.t.Helper()
	replies := make(chan reply)
	for _, n := range w.nodes {
		for i := range each {
			go func() {
				replies <- n.send(ask{id: fmt.Sprint(name, "-", n.name, "-", i), path: "/once/x/5", key: keyOne})
			}()
		}
	}
	for range each * len(w.nodes) {
		got := <-replies
		require.NoError(w.t, got.err)
		require.Equal(w.t, 200, got.status)
	}
}

// Guards against requests and items that begin in a failure domain which operators have
// drained: at an instance that the store turns away, after the history of what operators
// wrote is gone, and at an instance that starts meanwhile.
func TestNothingBeginsInADrainedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 2, targets: 2})
		w.nodes[0].door.Set(sharedstore.Fault{Status: 503})
		w.askAll("before", 4)
		require.NotZero(t, w.ranIn("d1", time.Time{}))
		require.Equal(t, 202, w.nodes[1].send(jobOf("job", 30, 40)).status)
		w.drain("d1")
		pass(drainBound)
		drained := time.Now()
		w.store.Trim("keyed.op")
		w.nodes[3].kill()
		w.nodes[3].start()
		pass(2 * time.Second)
		w.askAll("while", 8)
		w.requireWhole("job", w.nodes[1].allResults("job", 10*time.Second), 40)
		require.Zero(t, w.ranIn("d1", drained))

		w.undrain("d1")
		pass(drainBound)
		back := time.Now()
		w.askAll("after", 8)
		require.NotZero(t, w.ranIn("d1", back))
	})
}

// Guards against requests that are kept waiting, or sent all the same, while every failure
// domain is drained: they are refused at once, with when to return.
func TestRequestIsRefusedAtOnceWhileAllIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 2, nodes: 1, targets: 1})
		w.drain("d0")
		w.drain("d1")
		pass(drainBound)
		got := w.nodes[0].send(ask{id: "r", path: "/once/x/5", key: keyOne})
		require.Equal(t, 503, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, got.took, 100*time.Millisecond)
		require.Empty(t, w.runs("r"))
	})
}

// Guards against a large fleet in which only relays learn of a drain, or of its end.
func TestDrainReachesALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, size{domains: 3, nodes: 7, targets: 1})
		for _, n := range w.nodes[:12] {
			n.door.Set(sharedstore.Fault{Silent: true})
		}
		w.drain("d2")
		pass(drainBound)
		for _, n := range w.nodes {
			require.Equal(t, []string{"d2"}, n.daemon.view.Drains().Domains, n.name)
		}
		w.undrain("d2")
		pass(drainBound)
		for _, n := range w.nodes {
			require.Empty(t, n.daemon.view.Drains().Domains, n.name)
			n.door.Set(sharedstore.Fault{})
		}
	})
}
