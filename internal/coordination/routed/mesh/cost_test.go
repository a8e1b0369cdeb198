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

// largeFleet is a mesh that has heard of 90 instances, none of which is due a message.
func largeFleet(now time.Time) *Mesh {
	m := New(Config{Self: instance("a", 0), Logger: log.NewNopLogger()})
	m.SetDelegate(&told{own: quota.Counts{}, of: map[string]quota.Counts{}})
	for _, domain := range []string{"a", "b", "c"} {
		for n := range 30 {
			other := instance(domain, n+1)
			m.view.Heard(now, Heartbeat{From: other, Seq: 1, Admitted: quota.Counts{"o": 1}, Partitions: []int{n}})
			m.link(other.Address).nextAt = now.Add(time.Hour)
		}
	}
	m.settle()
	return m
}

// An instance looks 40 times a second which messages are due. If each look copies what
// all others told last, an idle instance among 90 spends a tenth of a core on copies,
// and its callers wait behind the collector.
func TestLookOfALargeFleetCopiesNothing(t *testing.T) {
	const looks, bytesOfALook = 100, 2_000
	now := time.Now()
	m := largeFleet(now)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range looks {
		require.Empty(t, m.due(now))
		m.settle()
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/looks, uint64(bytesOfALook))
}

// Two instances that know different ones notice it by their digests. A digest that is
// kept up to date must be the same as one that is made from all instances.
func TestDigestFollowsComingAndGoing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := viewStart
		v := NewView(instance("a", 0), ForgetAfter)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			other := instance("a", rapid.IntRange(1, 5).Draw(t, "other"))
			other.Start = int64(rapid.IntRange(1, 3).Draw(t, "start"))
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				v.Listed(now, []Instance{other})
			case 1:
				v.Heard(now, Heartbeat{From: other, Seq: uint64(rapid.IntRange(1, 9).Draw(t, "seq"))})
			default:
				v.Forget(now)
			}
			anew := NewView(instance("a", 0), ForgetAfter)
			anew.Listed(now, v.Known())
			require.Equal(t, anew.Digest(), v.Digest())
		}
	})
}
