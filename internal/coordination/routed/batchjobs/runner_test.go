package batchjobs

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
)

// A change of a partition is told while the partition is being given up. Taken in
// after that, it would tie the items to a holding that hears of nothing more: they
// would go on running after their job was ended.
func TestChangeAfterReleaseIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 3)
		r := NewRunner(p.opts)
		replica := p.own()
		sleep(time.Second)
		r.syncItems(replica)
		require.Len(t, r.tasks, 3)
		r.releaseItems(replica)
		require.Empty(t, r.tasks)
		r.syncItems(replica)
		require.Empty(t, r.tasks)
	})
}

// Two changes of a partition come close together, the second of them a job. The look
// at the partition that the first one caused is taken in last, and is older than the
// job. Its items would be forgotten, and no target would get them until the next
// change of the partition, which may never come.
func TestSyncReadsItemsUnderTheRunnerLock(t *testing.T) {
	p := newTestPartition(t, 3)
	r := NewRunner(p.opts)
	replica := newPartitionReplica(p.opts, p.at, nil)
	r.mu.Lock()
	over := make(chan struct{})
	go func() {
		defer close(over)
		r.syncItems(replica)
	}()
	// Time for the goroutine to look too early, if it does so at all.
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, replica.load(t.Context()))
	r.mu.Unlock()
	<-over
	require.Len(t, r.tasks, 3)
}

// Most instances of a large fleet have no items. Looking for some all the time would take
// a part of a small processor from the callers.
func TestRunnerWithoutItemsDoesNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 0)
		var looks atomic.Int64
		p.opts.Table = func() *route.Table {
			looks.Add(1)
			return nil
		}
		r := NewRunner(p.opts)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.Error(t, r.Serve(ctx))
		require.LessOrEqual(t, looks.Load(), int64(maxDomains))
	})
}

// The clock of the instance that took a job was seconds behind, or that of the holder has
// jumped ahead. By the holder's clock the item's time is over, and its caller would be told
// that it was given up while it could still be done.
func TestClockAheadDoesNotExpireItem(t *testing.T) {
	now := time.Unix(1_000, 0)
	item := &task{openItem: openItem{job: jobs.Job{ExpiresAt: now.Add(-clockMargin / 2)}}}
	table := route.NewTable(route.Config{})
	require.NotEqual(t, "expired", item.failureReason(now, table))
	require.Equal(t, "expired", item.failureReason(now.Add(clockMargin), table))
}
