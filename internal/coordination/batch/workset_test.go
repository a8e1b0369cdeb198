package batch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

func anyService(protocol.ModelName) (protocol.ServiceName, bool) { return "s", true }

func equalWeights(protocol.OrganisationID) float64 { return 1 }

// addChunk adds a chunk with items to w.
func addChunk(w *workset, chunk, items int, due time.Duration) ledger.ChunkID {
	id := ledger.ChunkID{Job: "j", Chunk: chunk}
	w.add(loadedChunk{id: id, deadline: noon.Add(due), items: make([]bulk.Item, items)})
	return id
}

// startNextItem starts the next item in w.
func startNextItem(w *workset, now time.Time) (Item, bool) {
	_, stop := context.WithCancelCause(context.Background())
	return w.start("s", "", now, anyService, stop)
}

// A run of an item fails. The item must run again after its backoff, but only after
// all items that have not failed.
func TestFailedItemsRunAfterOthers(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	addChunk(w, 0, 3, time.Hour)
	first, _ := startNextItem(w, noon)
	require.Equal(t, 0, first.Number)
	w.requeue(first, 1, noon.Add(time.Second), nil)
	later := noon.Add(time.Minute)
	var order []int
	for {
		item, ok := startNextItem(w, later)
		if !ok {
			break
		}
		order = append(order, item.Number)
	}
	require.Equal(t, []int{1, 2, 0}, order)
}

// An item with partial output runs before items that have not started, so that its
// output is not kept in memory for long.
func TestInterruptedItemGoesFirst(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	addChunk(w, 0, 3, time.Hour)
	startNextItem(w, noon)
	second, _ := startNextItem(w, noon)
	w.requeue(second, 0, time.Time{}, &Resume{Tokens: 5})
	again, _ := startNextItem(w, noon)
	require.Equal(t, 1, again.Number)
	require.Equal(t, 5, again.Resume.Tokens)
	require.Equal(t, 1, again.Attempt)
}

// A claim is lost while items are running. These may finish, but no other item may
// start. If the chunk is claimed again, the running items are not started twice.
func TestLostClaimStartsNothing(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := addChunk(w, 0, 3, time.Hour)
	running, _ := startNextItem(w, noon)
	w.reconcile(id, claimStatus{held: false})
	_, ok := startNextItem(w, noon)
	require.False(t, ok)
	addChunk(w, 0, 3, time.Hour)
	var started []int
	for {
		item, ok := startNextItem(w, noon)
		if !ok {
			break
		}
		started = append(started, item.Number)
	}
	require.Equal(t, []int{1, 2}, started)
	w.recorded(id, []int{running.Number, 1, 2})
	require.Empty(t, w.chunks)
}

// A job is cancelled. Its runs must be cancelled with the cause errJobEnded, and the
// chunk must be removed after they have returned.
func TestEndedJobStopsItsRuns(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := addChunk(w, 0, 2, time.Hour)
	ctx, stop := context.WithCancelCause(context.Background())
	item, _ := w.start("s", "", noon, anyService, stop)
	w.reconcile(id, claimStatus{ended: true})
	require.ErrorIs(t, context.Cause(ctx), errJobEnded)
	w.requeue(item, 0, time.Time{}, nil)
	require.Empty(t, w.chunks)
}

// An item with a queued result no longer needs its input. Keeping both would double
// the memory use during an outage of the log.
func TestItemWithQueuedResultFreesItsInput(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: noon.Add(time.Hour), items: []bulk.Item{{Body: []byte("long")}}})
	item, _ := startNextItem(w, noon)
	w.resultQueued(item)
	require.Nil(t, w.chunks[id].tasks[0].item.Body)
	require.True(t, w.chunkResultsQueued(id))
}

// An instance holds a large chunk of one organisation when it claims a chunk of
// another. From then on both must share the slots by weight; the second must not
// wait until the first is done.
func TestOrganisationsShareSlots(t *testing.T) {
	weights := func(org protocol.OrganisationID) float64 {
		if org == "heavy" {
			return 3
		}
		return 1
	}
	w := newWorkset(time.Minute, weights)
	for i, org := range []protocol.OrganisationID{"light", "heavy"} {
		id := ledger.ChunkID{Job: protocol.JobID(org)}
		w.add(loadedChunk{id: id, organisation: org, deadline: noon.Add(time.Hour + time.Duration(i)), items: make([]bulk.Item, 100)})
	}
	counts := map[protocol.OrganisationID]int{}
	for range 40 {
		item, ok := startNextItem(w, noon)
		require.True(t, ok)
		counts[item.Organisation]++
	}
	require.Equal(t, map[protocol.OrganisationID]int{"light": 10, "heavy": 30}, counts)
}

// Guards against output that is lost while the same slot could go to an item that can be resumed
// there, or to one without output.
func TestSlotGoesToItemWhoseOutputCanBeResumed(t *testing.T) {
	for version, want := range map[string]int{"v1": 0, "v2": 1, "v3": 2} {
		w := newWorkset(time.Minute, equalWeights)
		addChunk(w, 0, 3, time.Hour)
		first, _ := startNextItem(w, noon)
		second, _ := startNextItem(w, noon)
		w.requeue(first, 0, time.Time{}, &Resume{Tokens: 5, Version: "v1"})
		w.requeue(second, 0, time.Time{}, &Resume{Tokens: 5, Version: "v2"})
		item, ok := w.start("s", version, noon, anyService, func(error) {})
		require.True(t, ok)
		require.Equal(t, want, item.Number, version)
	}
}
