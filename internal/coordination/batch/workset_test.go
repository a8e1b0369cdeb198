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

func held(w *workset, chunk, items int, due time.Duration) ledger.ChunkID {
	id := ledger.ChunkID{Job: "j", Chunk: chunk}
	w.add(loadedChunk{id: id, deadline: noon.Add(due), items: make([]bulk.Item, items)})
	return id
}

func next(w *workset, now time.Time) (Item, bool) {
	_, stop := context.WithCancelCause(context.Background())
	return w.start("s", now, anyService, stop)
}

// An item fails. It must wait behind all that were not tried, and come back
// when its wait is over.
func TestStragglersWaitBehindTheRest(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	held(w, 0, 3, time.Hour)
	first, _ := next(w, noon)
	require.Equal(t, 0, first.Number)
	w.requeue(first, 1, noon.Add(time.Second), nil)
	later := noon.Add(time.Minute)
	var order []int
	for {
		item, ok := next(w, later)
		if !ok {
			break
		}
		order = append(order, item.Number)
	}
	require.Equal(t, []int{1, 2, 0}, order)
}

// An item whose place was taken back has partial output. It goes before those
// that were not begun, so that the output is not kept in memory for long.
func TestInterruptedItemGoesFirst(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	held(w, 0, 3, time.Hour)
	next(w, noon)
	second, _ := next(w, noon)
	w.requeue(second, 0, time.Time{}, &Resume{Tokens: 5})
	again, _ := next(w, noon)
	require.Equal(t, 1, again.Number)
	require.Equal(t, 5, again.Resume.Tokens)
	require.Equal(t, 1, again.Attempt)
}

// A claim is lost while items run. What runs may finish, nothing else starts,
// and if the chunk is claimed again what still runs is not started twice.
func TestLostClaimStartsNothing(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := held(w, 0, 3, time.Hour)
	running, _ := next(w, noon)
	w.reconcile(id, agreed{held: false})
	_, ok := next(w, noon)
	require.False(t, ok)
	held(w, 0, 3, time.Hour)
	var started []int
	for {
		item, ok := next(w, noon)
		if !ok {
			break
		}
		started = append(started, item.Number)
	}
	require.Equal(t, []int{1, 2}, started)
	w.settled(id, []int{running.Number, 1, 2})
	require.Empty(t, w.chunks)
}

// A job is cancelled. Runs stop with the cause, and the chunk goes once they
// have returned.
func TestEndedJobStopsItsRuns(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := held(w, 0, 2, time.Hour)
	ctx, stop := context.WithCancelCause(context.Background())
	item, _ := w.start("s", noon, anyService, stop)
	w.reconcile(id, agreed{ended: true})
	require.ErrorIs(t, context.Cause(ctx), errJobEnded)
	w.requeue(item, 0, time.Time{}, nil)
	require.Empty(t, w.chunks)
}

// A result that waits for the log needs no input. Keeping both would double the
// memory of an outage.
func TestReportedItemDropsItsInput(t *testing.T) {
	w := newWorkset(time.Minute, equalWeights)
	id := ledger.ChunkID{Job: "j"}
	w.add(loadedChunk{id: id, deadline: noon.Add(time.Hour), items: []bulk.Item{{Body: []byte("long")}}})
	item, _ := next(w, noon)
	w.reported(item)
	require.Nil(t, w.chunks[id].tasks[0].item.Body)
	require.True(t, w.whole(id))
}

// An instance holds a long chunk of one organisation when a chunk of another
// comes. The places must be shared from then on, by weight, and not given to
// the second only after the first is done.
func TestOrganisationsSharePlaces(t *testing.T) {
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
		item, ok := next(w, noon)
		require.True(t, ok)
		counts[item.Organisation]++
	}
	require.Equal(t, map[protocol.OrganisationID]int{"light": 10, "heavy": 30}, counts)
}
