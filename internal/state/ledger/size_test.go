package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// Sizes of the measured ledger: a million items, all in running jobs.
const (
	liveJobs   = 10
	liveChunks = 391
	liveItems  = liveJobs * liveChunks * protocol.MaxChunkItems
)

// millionItems returns records that leave a million items in running jobs of
// 100,000 items each. Half of the chunks are done and the rest are claimed. A
// tenth of the done chunks have two segments and failed items.
func millionItems() []protocol.Record {
	var records []protocol.Record
	for j := range liveJobs {
		name := fmt.Sprintf("job%d", j)
		sizes := make([]int, liveChunks)
		for i := range sizes {
			sizes[i] = protocol.MaxChunkItems
		}
		records = append(records, manifest(name, name, sizes...))
		for i := range liveChunks {
			records = append(records, claimOf(name, i))
		}
		for i := range liveChunks / 2 {
			records = append(records, finishedChunk(name, i)...)
		}
	}
	for i := range records {
		records[i].ID.Session = session1
	}
	return records
}

func finishedChunk(job string, chunk int) []protocol.Record {
	full := resultOf(job, chunk, protocol.Offset(10_000+chunk), nil, nil)
	full.ChunkResult.Items = firstBits(protocol.MaxChunkItems).Bytes()
	if chunk%10 != 0 {
		return []protocol.Record{full}
	}
	part := resultOf(job, chunk, protocol.Offset(20_000+chunk), []int{3, 200}, []int{200})
	return []protocol.Record{part, full}
}

// recordsPerItem returns the records of the baseline: a claim and a result for
// each single item.
func recordsPerItem(items int) []protocol.Record {
	chunks := items / protocol.MaxChunkItems
	sizes := make([]int, chunks)
	for i := range sizes {
		sizes[i] = protocol.MaxChunkItems
	}
	records := []protocol.Record{manifest("job", "job", sizes...)}
	for i := range chunks {
		for item := range protocol.MaxChunkItems {
			records = append(records, claimOf("job", i), resultOf("job", i, protocol.Offset(item), []int{item}, nil))
		}
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

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// itemState is the state per item of the baseline, a map with one entry per item.
type itemState struct {
	holder protocol.SessionID
	data   protocol.Offset
	failed bool
}

// An instance has 64 MB of memory for its control state. With a million items in
// running jobs the ledger must stay far below that limit, or instances would be
// killed for lack of memory.
func TestMeasureMemoryOfAMillionItems(t *testing.T) {
	records := millionItems()
	before := heapBytes()
	l := replayAll(records)
	used := heapBytes() - before
	runtime.KeepAlive(records)
	require.Len(t, l.Running(), liveJobs)
	before = heapBytes()
	perItem := make(map[itemID]itemState, liveItems/10)
	for i := range liveItems / 10 {
		perItem[itemID{"job", i / protocol.MaxChunkItems, i % protocol.MaxChunkItems}] = itemState{holder: 1, data: protocol.Offset(i), failed: false}
	}
	baseline := heapBytes() - before
	runtime.KeepAlive(perItem)
	perHundredThousand := float64(used) / 1e6 / (liveItems / 1e5)
	t.Logf("measure name=state.mb_per_100k_items unit=MB baseline=%.2f now=%.4f", float64(baseline)/1e6, perHundredThousand)
	require.Less(t, perHundredThousand, 0.1)
	runtime.KeepAlive(l)
}

// encodeAll encodes each record in a separate frame.
func encodeAll(t require.TestingT, records []protocol.Record) [][]byte {
	frames := make([][]byte, len(records))
	for i := range records {
		data, err := protocol.EncodeFrame(protocol.Frame{Records: records[i : i+1]})
		require.NoError(t, err)
		frames[i] = data
	}
	return frames
}

func decodeAndReplay(t require.TestingT, frames [][]byte) time.Duration {
	began := time.Now()
	l := New()
	for i, data := range frames {
		frame, err := protocol.DecodeFrame(data)
		require.NoError(t, err)
		l.Apply(protocol.Offset(i), &frame.Records[0], bothOpen)
	}
	return time.Since(began)
}

// A starting instance replays the records of all running jobs before it serves
// requests. The baseline has one record per claim and per result of an item. It
// is measured with 102,400 items and extrapolated to a million.
func TestMeasureReplayOfAMillionItems(t *testing.T) {
	const sample = 102_400
	frames := encodeAll(t, millionItems())
	now := decodeAndReplay(t, frames)
	baseline := decodeAndReplay(t, encodeAll(t, recordsPerItem(sample)))
	t.Logf("measure name=start.replay_1m_s unit=s baseline=%.2f now=%.3f records=%d",
		baseline.Seconds()*liveItems/sample, now.Seconds(), len(frames))
	snapshot, err := protocol.Marshal(replayAll(millionItems()).Snapshot())
	require.NoError(t, err)
	began := time.Now()
	var s Snapshot
	require.NoError(t, protocol.Unmarshal(snapshot, &s))
	require.Len(t, Restore(s).Running(), liveJobs)
	t.Logf("measure name=start.restore_1m_s unit=s now=%.4f bytes=%d", time.Since(began).Seconds(), len(snapshot))
}
