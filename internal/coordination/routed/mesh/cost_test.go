package mesh

import (
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/coordination/routed/quota"
)

// largeFleet returns a mesh that has received a heartbeat from each of 90 instances and has
// no message due.
func largeFleet(now time.Time) *Mesh {
	m := New(Config{Self: instance("a", 0), Logger: log.NewNopLogger()})
	m.SetDelegate(&fakeDelegate{admitted: quota.Counts{}, received: map[string]quota.Counts{}})
	for _, domain := range []string{"a", "b", "c"} {
		for n := range 30 {
			other := instance(domain, n+1)
			m.view.ApplyHeartbeat(now, Heartbeat{From: other, Seq: 1, Admitted: quota.Counts{"o": 1}, Partitions: []int{n}})
			m.link(other.Address).nextAt = now.Add(time.Hour)
		}
	}
	m.reportChanges()
	return m
}

// Guards against copying all peers' last heartbeats in each tick. An instance checks 40
// times a second which messages are due. In a fleet of 90 an idle instance would spend a
// tenth of a core on the copies, and its callers would wait for the garbage collector.
func TestTickOfLargeFleetDoesNotCopyHeartbeats(t *testing.T) {
	const ticks, bytesPerTick = 100, 2_000
	now := time.Now()
	m := largeFleet(now)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range ticks {
		require.Empty(t, m.dueExchanges(now))
		m.reportChanges()
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/ticks, uint64(bytesPerTick))
}

// The incrementally updated digest must equal a digest that is computed from all instances.
// Otherwise two instances that know different peers would not notice it.
func TestDigestMatchesKnownInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := viewStart
		v := NewView(instance("a", 0), ForgetTimeout)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			other := instance("a", rapid.IntRange(1, 5).Draw(t, "other"))
			other.Start = int64(rapid.IntRange(1, 3).Draw(t, "start"))
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				v.AddInstances(now, []Instance{other})
			case 1:
				v.ApplyHeartbeat(now, Heartbeat{From: other, Seq: uint64(rapid.IntRange(1, 9).Draw(t, "seq"))})
			default:
				v.Forget(now)
			}
			expected := NewView(instance("a", 0), ForgetTimeout)
			expected.AddInstances(now, v.Instances())
			require.Equal(t, expected.Digest(), v.Digest())
		}
	})
}
