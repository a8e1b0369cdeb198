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

// A change of a partition is reported while the partition is being released. Applied after
// the release, it would attach the items to a replica that gets no further updates, and
// they would go on running after their job was cancelled.
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

// Two changes of a partition occur in quick succession, and the second one adds a job. If
// the set of items read after the first change were applied last, the items of the job
// would be lost, and no target would get them until the next change of the partition,
// which may never come.
func TestSyncReadsItemsUnderTheRunnerLock(t *testing.T) {
	p := newTestPartition(t, 3)
	r := NewRunner(p.opts)
	replica := newPartitionReplica(p.opts, p.at, nil)
	r.mu.Lock()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		r.syncItems(replica)
	}()
	// Gives the goroutine time to read the items too early, if it does so at all.
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, replica.load(t.Context()))
	r.mu.Unlock()
	<-finished
	require.Len(t, r.tasks, 3)
}

// Most instances of a large fleet have no items. Polling all the time would take a part of
// a small processor from the callers' requests.
func TestRunnerWithoutItemsDoesNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 0)
		var polls atomic.Int64
		p.opts.Table = func() *route.Table {
			polls.Add(1)
			return nil
		}
		r := NewRunner(p.opts)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.Error(t, r.Serve(ctx))
		require.LessOrEqual(t, polls.Load(), int64(maxDomains))
	})
}

// The clock of the instance that accepted a job was seconds behind, or the owner's clock has
// jumped ahead. By the owner's clock the item has expired, and its caller would get a failed
// result although the item could still be done.
func TestClockAheadDoesNotExpireItem(t *testing.T) {
	now := time.Unix(1_000, 0)
	item := &task{openItem: openItem{job: jobs.Job{GiveUp: now.Add(-clockMargin / 2)}}}
	table := route.NewTable(route.Config{})
	require.NotEqual(t, "expired", item.failureReason(now, table))
	require.Equal(t, "expired", item.failureReason(now.Add(clockMargin), table))
}
