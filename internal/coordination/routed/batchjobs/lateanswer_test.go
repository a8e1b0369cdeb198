package batchjobs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// lateAnswerLog answers a read of the end some time after it has looked at the store.
type lateAnswerLog struct{ *countingLog }

// Read implements external.KeyedLog.
func (l *lateAnswerLog) Read(ctx context.Context, at external.Partition, from int64, wait time.Duration) (external.KeyedPage, error) {
	page, err := l.Direct.Read(ctx, at, from, wait)
	if wait == 0 {
		sleep(time.Millisecond)
	}
	return page, err
}

// A job is accepted after a read for an earlier request has looked at the store and before
// its answer arrives. A caller that asks for the job then must not get Missing.
// (TestCatchUpThatBeganEarlierDoesNotDecideMissing looks at the store after the wait, so it
// also passes if concurrent callers share the current read.)
func TestReadWhoseAnswerIsOnItsWayDoesNotDecideMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 0)
		inst := f.instances[0]
		inst.JobService.opts.Log = &lateAnswerLog{inst.log}
		require.Equal(t, Done, inst.read(jobID))
		for n := range 20 {
			go inst.read("unknown")
			sleep(time.Duration(1+n%9) * 100 * time.Microsecond)
			id := fmt.Sprint("new-", n)
			f.addJob(id)
			require.Equal(t, Done, inst.read(id), "%s", id)
			sleep(5 * time.Millisecond)
		}
	})
}
