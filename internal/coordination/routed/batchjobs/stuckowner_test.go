package batchjobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// ownerStuckFor is a time for which an owner may not load its partition. The results of a
// job are due within seconds, and an owner of a large partition on a small link needs a few.
const ownerStuckFor = 30 * time.Second

// The store answers an owner's joins, which are small, and none of its reads, as on a link
// that is squeezed. So the owner keeps its partition and never loads it. All other
// instances reach the store: the jobs must not be unreadable for as long as that lasts.
func TestJobsOfOwnerThatNeverLoadsCanBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 300*time.Millisecond)
		f.instances[0].log.unreachable.Store(true)
		f.instances[0].own()
		for deadline := time.Now().Add(ownerStuckFor); time.Now().Before(deadline); sleep(500 * time.Millisecond) {
			f.readEverywhere(f.instances[1:], jobID, 1)
		}
		require.Equal(t, map[Verdict]int{Done: 5}, f.readEverywhere(f.instances[1:], jobID, 1), "reads after %v", ownerStuckFor)
		require.Equal(t, Done, f.instances[1].Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
	})
}

// The same owner, but its reads begin to fail after it has loaded. A job that is accepted
// after that must not be unreadable for as long as that lasts.
func TestNewJobsOfOwnerThatReadsNoMoreCanBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 6, 300*time.Millisecond)
		f.instances[0].own()
		sleep(time.Second)
		f.instances[0].log.unreachable.Store(true)
		sleep(2 * readWait)
		f.addJob("new")
		for deadline := time.Now().Add(ownerStuckFor); time.Now().Before(deadline); sleep(500 * time.Millisecond) {
			f.readEverywhere(f.instances[1:], "new", 1)
		}
		require.Equal(t, map[Verdict]int{Done: 5}, f.readEverywhere(f.instances[1:], "new", 1), "reads after %v", ownerStuckFor)
	})
}
