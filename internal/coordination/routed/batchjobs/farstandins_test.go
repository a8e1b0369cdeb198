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
func TestFewInstancesLoadPartitionWhileStandInsAreNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 40, 300*time.Millisecond)
		standIns := map[string]bool{}
		for _, i := range f.instances[0].standIns(f.at.Number) {
			standIns[i.Name] = true
		}
		var others []*serviceInstance
		for _, i := range f.instances {
			if standIns[i.self.Name] {
				f.fail(i)
			} else {
				others = append(others, i)
			}
		}
		f.readEverywhere(others, jobID, 1)
		started, _ := f.loads()
		require.LessOrEqual(t, started, int64(2*maxStandIns), "loads by %d instances", len(others))
	})
}
