package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// agedEntries implements the reads of coordination.Journal. An entry was written as
// many seconds after the epoch as its offset. One read in rejectEvery is rejected.
type agedEntries struct {
	coordination.Journal
	rejectEvery int
	reads       int
}

func (a *agedEntries) ReadData(_ context.Context, at protocol.Offset) ([]byte, error) {
	a.reads++
	if a.reads%a.rejectEvery == 0 {
		return nil, external.ErrUnavailable
	}
	return bulk.Encode(bulk.Entry{At: int64(at)})
}

// The log rejects one read in three. Guards against a search that never ends, since
// each failed read discards the reads before it. Data would then not be refreshed before
// the platform's retention removes it.
func TestSearchForOldDataContinuesAfterFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &agedEntries{rejectEvery: 3}
		r := NewDataRefresher(entries, Options{}, log.NewNopLogger())
		var cutoff protocol.Offset
		var err error
		for range 60 {
			if cutoff, err = r.firstEntrySince(t.Context(), time.Unix(700, 0), 4096); err == nil {
				break
			}
		}
		require.NoError(t, err, "after %d reads", entries.reads)
		require.Equal(t, protocol.Offset(700), cutoff)
		require.Less(t, entries.reads, 30)
	})
}

// An outage of the log ends a pass after a few reads.
func TestSearchForOldDataEndsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := &agedEntries{rejectEvery: 1}
		r := NewDataRefresher(entries, Options{}, log.NewNopLogger())
		_, err := r.firstEntrySince(t.Context(), time.Unix(700, 0), 4096)
		require.ErrorIs(t, err, external.ErrUnavailable)
		require.LessOrEqual(t, entries.reads, 5)
	})
}
