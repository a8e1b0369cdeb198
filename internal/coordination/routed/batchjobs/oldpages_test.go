package batchjobs

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
)

// keptPagesLog returns, as a read that goes on with kept pages does, the newest records of
// some time ago with their end. Its further reads fail until readable is set.
type keptPagesLog struct {
	*countingLog
	kept     external.KeyedPage
	readable atomic.Bool
}

// Newest implements external.KeyedLog.
func (l *keptPagesLog) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	return l.kept, nil
}

// Read implements external.KeyedLog.
func (l *keptPagesLog) Read(ctx context.Context, at external.Partition, from int64, wait time.Duration) (external.KeyedPage, error) {
	if !l.readable.Load() {
		return external.KeyedPage{}, external.ErrNotPerformed
	}
	return l.countingLog.Read(ctx, at, from, wait)
}

// An instance is dealt a partition again and goes on with the pages of its first load, while
// the store rejects its next read. Meanwhile another owner has listed a result and a caller
// has read it. The caller must not be told that there is nothing at that position.
func TestOwnerWithOldPagesDoesNotTakeBackResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 2, 0)
		again, other := f.instances[0], f.instances[1]
		kept, err := f.store.Newest(t.Context(), f.at)
		require.NoError(t, err)
		kept.Next = kept.End
		other.own().addResult(succeeded(0, "text"))
		sleep(time.Second)
		first := other.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"})
		require.Len(t, first.Results, 1)
		log := &keptPagesLog{countingLog: again.log, kept: kept}
		again.JobService.opts.Log = log
		again.own()
		sleep(3 * time.Second)
		for _, i := range f.instances {
			reply := i.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"})
			if reply.Verdict == Done {
				require.Len(t, reply.Results, 1, "at %s", i.self.Name)
			}
		}
		log.readable.Store(true)
	})
}
