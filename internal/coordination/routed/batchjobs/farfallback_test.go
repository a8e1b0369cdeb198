package batchjobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The owner and the two instances that load a partition in its place are in a failure domain
// that has just been cut off, and still count as up. The number of loads by the others must
// not grow with the fleet.
func TestFewInstancesLoadPartitionWhileFallbackReadersAreNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 40, 300*time.Millisecond)
		fallbackReaders := map[string]bool{}
		for _, i := range f.instances[0].fallbackCandidates(f.at.Number)[:maxFallbackReaders] {
			fallbackReaders[i.Name] = true
		}
		var others []*serviceInstance
		for _, i := range f.instances {
			if fallbackReaders[i.self.Name] {
				f.fail(i)
			} else {
				others = append(others, i)
			}
		}
		f.readEverywhere(others, jobID, 1)
		started, _ := f.loads()
		require.LessOrEqual(t, started, int64(2*maxFallbackReaders), "loads by %d instances", len(others))
	})
}

// Cancellations in the same situation. Each instance must ask the same few others, and the
// call that reaches one of them must take effect.
func TestFewInstancesLoadPartitionForCancellationsWhileFallbackReadersAreNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 40, 300*time.Millisecond)
		for _, failed := range f.instances[0].fallbackCandidates(f.at.Number)[:maxFallbackReaders] {
			f.unreachable[failed.Address] = true
		}
		calls := 0
		for _, i := range f.instances {
			if f.isUnreachable(i.self.Address) {
				continue
			}
			calls++
			require.Equal(t, Done, i.Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
		}
		require.Equal(t, 40-maxFallbackReaders, calls)
		started, _ := f.loads()
		require.LessOrEqual(t, started, int64(2*maxFallbackReaders))
	})
}

// An instance reaches the store and no other instance, all of which still count as up. It
// must load the partition itself in the end.
func TestInstanceThatReachesNobodyLoadsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 300*time.Millisecond)
		for _, alone := range f.instances {
			for _, i := range f.instances {
				f.unreachable[i.self.Address] = i != alone
			}
			require.Equal(t, Done, alone.read(jobID))
		}
	})
}
