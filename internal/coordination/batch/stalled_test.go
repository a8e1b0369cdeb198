package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// An instance holds a chunk when its only target fails. It must release the chunk.
// Otherwise the job never ends, although other instances have nine idle targets.
func TestChunkWithoutSlotsIsReleased(t *testing.T) {
	start := time.Unix(0, 0)
	resolve := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	free := 0
	slots := func(protocol.ServiceName) int { return free }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j", Chunk: 3}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}}})
	require.Empty(t, w.stalled(start, 5*time.Second, resolve, slots))
	require.Empty(t, w.stalled(start.Add(4*time.Second), 5*time.Second, resolve, slots))
	free = 1
	require.Empty(t, w.stalled(start.Add(5*time.Second), 5*time.Second, resolve, slots))
	free = 0
	require.Empty(t, w.stalled(start.Add(6*time.Second), 5*time.Second, resolve, slots), "the time must start again after a slot was available")
	require.Equal(t, []ledger.ChunkID{id}, w.stalled(start.Add(11*time.Second), 5*time.Second, resolve, slots))
}

// The last item of a chunk is running, or its result waits to be appended. If the
// chunk were released then, another instance would run the item a second time.
func TestChunkInProgressIsNotReleased(t *testing.T) {
	start := time.Unix(0, 0)
	resolve := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	noSlots := func(protocol.ServiceName) int { return 0 }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}}})
	item, ok := w.start("reports", "", start, resolve, func(error) {})
	require.True(t, ok)
	for _, passed := range []time.Duration{0, time.Minute} {
		require.Empty(t, w.stalled(start.Add(passed), 5*time.Second, resolve, noSlots))
	}
	w.resultQueued(item)
	for _, passed := range []time.Duration{time.Minute, time.Hour} {
		require.Empty(t, w.stalled(start.Add(passed), 5*time.Second, resolve, noSlots))
	}
}

// Half of a chunk is done when the instance loses its only target. The results may
// wait for minutes to be appended together with others. The chunk must be released
// without that delay, or the rest of the job would wait as long.
func TestPartlyDoneChunkWithoutSlotsIsReleased(t *testing.T) {
	start := time.Unix(0, 0)
	resolve := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	noSlots := func(protocol.ServiceName) int { return 0 }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}, {CustomID: "b"}}})
	item, ok := w.start("reports", "", start, resolve, func(error) {})
	require.True(t, ok)
	w.resultQueued(item)
	require.Empty(t, w.stalled(start, 5*time.Second, resolve, noSlots))
	require.Equal(t, []ledger.ChunkID{id}, w.stalled(start.Add(5*time.Second), 5*time.Second, resolve, noSlots))
}
