package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// An instance holds a chunk when its only target dies, so it feeds none any
// more. Unless it gives the chunk back, the job hangs on it for ever, and the
// office waits for its reports although nine other targets are idle.
func TestChunkWithoutPlacesIsGivenBack(t *testing.T) {
	start := time.Unix(0, 0)
	of := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	free := 0
	places := func(protocol.ServiceName) int { return free }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j", Chunk: 3}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}}})
	require.Empty(t, w.stranded(start, 5*time.Second, of, places))
	require.Empty(t, w.stranded(start.Add(4*time.Second), 5*time.Second, of, places))
	free = 1
	require.Empty(t, w.stranded(start.Add(5*time.Second), 5*time.Second, of, places))
	free = 0
	require.Empty(t, w.stranded(start.Add(6*time.Second), 5*time.Second, of, places), "the time starts anew")
	require.Equal(t, []ledger.ChunkID{id}, w.stranded(start.Add(11*time.Second), 5*time.Second, of, places))
}

// The chunk's last item runs, or its result waits for the log. Giving the
// chunk back then would make another instance run the item a second time.
func TestChunkAtWorkIsNotGivenBack(t *testing.T) {
	start := time.Unix(0, 0)
	of := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	none := func(protocol.ServiceName) int { return 0 }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}}})
	item, ok := w.start("reports", start, of, func(error) {})
	require.True(t, ok)
	for _, passed := range []time.Duration{0, time.Minute} {
		require.Empty(t, w.stranded(start.Add(passed), 5*time.Second, of, none))
	}
	w.reported(item)
	for _, passed := range []time.Duration{time.Minute, time.Hour} {
		require.Empty(t, w.stranded(start.Add(passed), 5*time.Second, of, none))
	}
}

// A chunk is half done when the instance loses its only target. The results
// may wait minutes for others to be appended with, and the other half must not
// wait for that: the job would stand still for as long.
func TestHalfDoneChunkWithoutPlacesIsGivenBack(t *testing.T) {
	start := time.Unix(0, 0)
	of := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	none := func(protocol.ServiceName) int { return 0 }
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: start.Add(time.Hour), items: []bulk.Item{{CustomID: "a"}, {CustomID: "b"}}})
	item, ok := w.start("reports", start, of, func(error) {})
	require.True(t, ok)
	w.reported(item)
	require.Empty(t, w.stranded(start, 5*time.Second, of, none))
	require.Equal(t, []ledger.ChunkID{id}, w.stranded(start.Add(5*time.Second), 5*time.Second, of, none))
}
