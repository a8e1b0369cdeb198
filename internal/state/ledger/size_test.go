package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// millionItems is a stream of records with a million live items: jobs of
// 100,000 items with half of their chunks done and the rest claimed.
func millionItems() []protocol.Record {
	const jobs, chunks = 10, 391
	var records []protocol.Record
	for j := range jobs {
		name := fmt.Sprintf("job%d", j)
		sizes := make([]int, chunks)
		for i := range sizes {
			sizes[i] = protocol.MaxChunkItems
		}
		records = append(records, manifest(name, name, sizes...))
		for i := range chunks {
			records = append(records, claimOf(name, i))
		}
		for i := range chunks / 2 {
			rec := resultOf(name, i, protocol.Offset(10_000+i), nil, nil)
			rec.ChunkResult.Items = firstBits(protocol.MaxChunkItems).Bytes()
			records = append(records, rec)
		}
	}
	for i := range records {
		records[i].ID.Session = first
	}
	return records
}

func replayAll(records []protocol.Record) *Ledger {
	l := New()
	for i := range records {
		l.Apply(protocol.Offset(i), &records[i], bothOpen)
	}
	return l
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// An instance has 64 MB for control. The ledger must stay far below it with a
// million live items, or instances would be killed for memory.
func TestMillionItemsTakeLittleMemory(t *testing.T) {
	records := millionItems()
	before := heap()
	l := replayAll(records)
	grown := heap() - before
	runtime.KeepAlive(records)
	require.Equal(t, 10, len(l.Running()))
	perHundredThousand := float64(grown) / 1e6 / 10.01
	t.Logf("state.mb_per_100k_items=%.4f", perHundredThousand)
	require.Less(t, perHundredThousand, 0.5)
	runtime.KeepAlive(l)
}

// BenchmarkReplayMillionItems replays and restores a million live items.
func BenchmarkReplayMillionItems(b *testing.B) {
	records := millionItems()
	b.Run("records", func(b *testing.B) {
		for b.Loop() {
			replayAll(records)
		}
		b.ReportMetric(float64(len(records)), "records")
	})
	b.Run("decode+records", func(b *testing.B) {
		var frames [][]byte
		for _, rec := range records {
			data, err := protocol.EncodeFrame(protocol.Frame{Records: []protocol.Record{rec}})
			require.NoError(b, err)
			frames = append(frames, data)
		}
		for b.Loop() {
			l := New()
			for i, data := range frames {
				frame, err := protocol.DecodeFrame(data)
				require.NoError(b, err)
				l.Apply(protocol.Offset(i), &frame.Records[0], bothOpen)
			}
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		data, err := protocol.Marshal(replayAll(records).Snapshot())
		require.NoError(b, err)
		for b.Loop() {
			var s Snapshot
			require.NoError(b, protocol.Unmarshal(data, &s))
			Restore(s)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
}
