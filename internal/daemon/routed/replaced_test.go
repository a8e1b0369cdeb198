package routed

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

// misdirected counts the requests that reached an address for the target that used it before,
// by the address of the instance that sent them.
type misdirected struct {
	mu     sync.Mutex
	bySend map[string]int
}

func (m *misdirected) total() (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.bySend {
		count += n
	}
	return count
}

// replace ends the target and starts another one at its address, which the list of targets
// does not contain yet.
func (t *target) replace(newID string) *misdirected {
	_ = t.server.Close()
	t.silent = true
	count := &misdirected{bySend: map[string]int{}}
	successor := engine.New(engine.Options{ID: newID, Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond})
	listener, err := t.fleet.net.Host(t.ip).Listen(t.ip + ":8000")
	require.NoError(t.fleet.t, err)
	t.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") == t.id {
			from, _, _ := net.SplitHostPort(r.RemoteAddr)
			count.mu.Lock()
			count.bySend[from]++
			count.mu.Unlock()
		}
		successor.ServeHTTP(w, r)
	})}
	t.fleet.background.Go(func() { _ = t.server.Serve(listener) })
	return count
}

// Guards against requests that are sent to replaced targets again and again: targets crash while
// the store is silent, and others start at their addresses, so the list still names the old ones.
func TestReplacedTargetIsMetOnceByEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize{domains: 4, instances: 5, targets: 5})
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
		var counts []*misdirected
		for _, i := range []int{0, 1, 7} {
			counts = append(counts, fleet.targets[i].replace("new-"+fleet.targets[i].id))
		}
		answered, _, failed := fleet.generateLoad(100, 4*time.Second, 35, 300*time.Millisecond)
		require.Greater(t, answered, 300)
		require.Zero(t, failed, "requests were rejected while other targets had free slots")
		for _, count := range counts {
			require.Positive(t, count.total(), "the replaced target was never met")
			require.LessOrEqual(t, count.total(), 20)
			for from, n := range count.bySend {
				require.LessOrEqual(t, n, 1, "requests from %s", from)
			}
		}
	})
}
