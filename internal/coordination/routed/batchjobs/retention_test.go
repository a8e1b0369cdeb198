package batchjobs

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
)

// keys returns the keys that the store has for the partition.
func (p *testPartition) keys() []string {
	page, err := p.store.Newest(p.t.Context(), p.at)
	require.NoError(p.t, err)
	var keys []string
	for _, record := range page.Records {
		keys = append(keys, record.Key)
	}
	return keys
}

// The store keeps the newest record of each key forever and accepts no more when it is
// full; every job would then be rejected. So an expired job must leave no records, and
// must stay readable until it expires.
func TestExpiredJobIsRemovedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 3)
		p.opts.Readable = 2 * time.Minute
		replica := p.own()
		sleep(time.Second)
		replica.addResult(succeeded(0, "short"))
		// A result that takes several records.
		replica.addResult(succeeded(1, strings.Repeat("x", 3*p.opts.RecordBytes)))
		replica.addResult(succeeded(2, "short"))
		sleep(100 * time.Second)
		p.requireEachPublishedOnce(3)
		sleep(60 * time.Second)
		require.Empty(t, p.keys())
	})
}

// A job with unfinished items must not be removed, however old it is.
func TestOpenJobStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 2)
		p.opts.Readable = 2 * time.Minute
		replica := p.own()
		sleep(time.Second)
		replica.addResult(succeeded(0, "short"))
		sleep(time.Hour)
		require.Len(t, p.publishedJob().Results, 1)
		replica.addResult(succeeded(1, "short"))
		sleep(time.Second)
		require.NotEmpty(t, p.keys(), "its caller may still read it")
		sleep(10 * time.Second)
		require.Empty(t, p.keys())
	})
}

// Two instances own the partition while it is reassigned. The one whose state is older
// must not remove what the other one is writing.
func TestRemovalIsRejectedIfThePartitionHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 1)
		p.opts.Readable = time.Minute
		replica := newPartitionReplica(p.opts, p.at, nil)
		require.NoError(t, replica.readToEnd(t.Context()))
		replica.addResult(succeeded(0, "short"))
		_, err := replica.publishOnce(t.Context())
		require.NoError(t, err)
		sleep(time.Hour)
		_, err = p.store.Append(t.Context(), p.at, []external.KeyedRecord{jobs.EncodeCancellation("other")}, external.AnyEnd)
		require.NoError(t, err)
		require.NoError(t, replica.removeExpired(t.Context()))
		require.Len(t, p.publishedJob().Results, 1)
	})
}
