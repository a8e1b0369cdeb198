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
	// loads counts the reads of the newest records.
	loads atomic.Int64
}

// Newest implements external.KeyedLog.
func (l *keptPagesLog) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	l.loads.Add(1)
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

// An owner has read the newest records, and the store rejects its reads for some seconds.
// Guards against loads of the whole partition that are thrown away and begin anew with each
// of these failures: they would keep the store busy.
func TestLoadGoesOnAfterFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 0)
		owner := f.instances[0]
		kept, err := f.store.Newest(t.Context(), f.at)
		require.NoError(t, err)
		kept.Next = kept.End
		log := &keptPagesLog{countingLog: owner.log, kept: kept}
		owner.JobService.opts.Log = log
		owner.own()
		f.addJob("new")
		sleep(5 * time.Second)
		require.NotEqual(t, Done, owner.read(jobID))
		log.readable.Store(true)
		sleep(time.Second)
		require.Equal(t, Done, owner.read(jobID))
		require.Equal(t, Done, owner.read("new"))
		require.EqualValues(t, 1, log.loads.Load())
	})
}

// trimmedLog returns old pages once, then the newest records.
type trimmedLog struct{ *keptPagesLog }

// Newest implements external.KeyedLog.
func (l trimmedLog) Newest(ctx context.Context, at external.Partition) (external.KeyedPage, error) {
	page, err := l.keptPagesLog.Newest(ctx, at)
	if l.loads.Load() > 1 {
		return l.Direct.Newest(ctx, at)
	}
	return page, err
}

// The records since the first page have left the store's history. The owner must load the
// partition again, and meanwhile not answer from the old pages.
func TestLoadBeginsAnewIfRecordsSinceFirstPageAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFleet(t, 1, 0)
		owner := f.instances[0]
		kept, err := f.store.Newest(t.Context(), f.at)
		require.NoError(t, err)
		kept.Next = kept.End
		f.addJob("new")
		f.store.Store.Trim(f.at.Topic)
		log := trimmedLog{&keptPagesLog{countingLog: owner.log, kept: kept}}
		log.readable.Store(true)
		owner.JobService.opts.Log = log
		replica := owner.own()
		sleep(10 * time.Millisecond)
		require.False(t, replica.isLoaded())
		sleep(time.Second)
		require.Equal(t, Done, owner.read("new"))
		require.EqualValues(t, 2, log.loads.Load())
	})
}
