package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// Buffered results of several chunks are taken one entry at a time. Some appends
// fail, and their results are put back. In the end every result must have been
// appended exactly once, and each group must fit in a log entry.
func TestBufferKeepsEveryResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newResultBuffer()
		want := rapid.IntRange(1, 200).Draw(t, "results")
		for i := range want {
			size := rapid.SampledFrom([]int{10, 1000, 100_000, 400_000}).Draw(t, "size")
			b.add(itemResult{
				item:   Item{ChunkID: ledger.ChunkID{Job: "j", Chunk: i % 5}, Number: i / 5, Deadline: noon},
				result: bulk.Result{Item: i / 5, Body: []byte(strings.Repeat("x", size))},
			}, noon)
		}
		appended := map[[2]int]bool{}
		for !b.empty() {
			sections := b.take(bulk.MaxPayload)
			require.NotEmpty(t, sections)
			requireFits(t, sections)
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				b.putBack(sections, noon)
				continue
			}
			for _, s := range sections {
				for _, number := range s.itemNumbers() {
					require.False(t, appended[[2]int{s.id.Chunk, number}])
					appended[[2]int{s.id.Chunk, number}] = true
				}
			}
		}
		require.Len(t, appended, want)
		require.Zero(t, b.bytes)
	})
}

func requireFits(t *rapid.T, sections []*section) {
	entry := bulk.Entry{At: 1 << 40}
	for _, s := range sections {
		entry.Results = append(entry.Results, bulk.Section{Job: s.id.Job, Chunk: s.id.Chunk, Results: s.results})
	}
	_, err := bulk.Encode(entry)
	require.NoError(t, err)
}

// The record must mark failed items, or they would be counted as completed.
func TestRecordMarksFailedItems(t *testing.T) {
	s := &section{results: []bulk.Result{{Item: 3}, {Item: 9, Code: protocol.CodeTargetFailed}}}
	rec := s.record(5)
	items, _ := ledger.ParseBitmap(rec.Items)
	failed, _ := ledger.ParseBitmap(rec.Failed)
	require.True(t, items.Has(3) && items.Has(9) && failed.Has(9) && !failed.Has(3))
	require.Equal(t, 2, items.Count())
}

func TestBackoffDoublesUpToLimit(t *testing.T) {
	opts := Options{BackoffFirst: time.Second, BackoffMax: 5 * time.Second}
	var waits []time.Duration
	for attempt := range 4 {
		waits = append(waits, backoff(attempt+1, opts))
	}
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second}, waits)
}
