package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

// itemID names an item in the reference.
type itemID struct {
	job         protocol.JobID
	chunk, item int
}

// reference is the rule in its plainest form: a map of the first result of
// each item, and the position at which each job ended.
type reference struct {
	first map[itemID]protocol.Offset
	ended map[protocol.JobID]bool
}

func (r *reference) apply(rec *protocol.Record, verdict protocol.Verdict) {
	switch {
	case rec.JobCancel != nil && verdict == protocol.Accepted:
		r.ended[rec.JobCancel.Job] = true
	case rec.JobExpire != nil && verdict == protocol.Accepted:
		r.ended[rec.JobExpire.Job] = true
	case rec.ChunkResult != nil:
		r.result(rec.ChunkResult)
	case rec.ChunkResults != nil:
		for i := range rec.ChunkResults.Parts {
			r.result(&rec.ChunkResults.Parts[i])
		}
	}
}

func (r *reference) result(body *protocol.ChunkResult) {
	if r.ended[body.Job] || body.Chunk >= drawnChunks {
		return
	}
	items, _ := ParseBitmap(body.Items)
	for item := range protocol.MaxChunkItems {
		id := itemID{body.Job, body.Chunk, item}
		if _, taken := r.first[id]; !taken && items.Has(item) {
			r.first[id] = body.Data
		}
	}
}

const (
	drawnJobs   = 3
	drawnChunks = 3
	drawnItems  = 5
)

// drawRecord draws a record as one of several executors or callers may write
// it, late, twice or crossed.
func drawRecord(t *rapid.T, at protocol.Offset) protocol.Record {
	job := protocol.JobID(fmt.Sprintf("job%d", rapid.IntRange(0, drawnJobs-1).Draw(t, "job")))
	chunk := rapid.IntRange(0, drawnChunks-1).Draw(t, "chunk")
	items := rapid.SliceOfN(rapid.IntRange(0, drawnItems-1), 1, drawnItems).Draw(t, "items")
	failed := items[:rapid.IntRange(0, len(items)).Draw(t, "failed")]
	var rec protocol.Record
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		rec = manifest(string(job), "key"+string(job), drawnItems, drawnItems, drawnItems)
	case 1, 2:
		rec = claimOf(string(job), chunk, rapid.IntRange(0, drawnChunks-1).Draw(t, "other"))
	case 3:
		rec = protocol.Record{ChunkRelease: &protocol.ChunkRelease{Job: job, Chunks: []int{chunk}}}
	case 4:
		rec = protocol.Record{JobCancel: &protocol.JobCancel{Job: job, Organisation: "cascadia"}}
	case 5:
		rec = protocol.Record{JobExpire: &protocol.JobExpire{Job: job}}
	case 6:
		rec = grouped(
			resultOf(string(job), chunk, 1000+at, items, failed),
			resultOf(string(job), rapid.IntRange(0, drawnChunks).Draw(t, "other"), 1000+at, items, nil),
		)
	default:
		rec = resultOf(string(job), chunk, 1000+at, items, failed)
	}
	rec.ID.Session = protocol.SessionID(rapid.IntRange(1, 3).Draw(t, "session"))
	return rec
}

// grouped reports several chunks in one record, of which the last may not
// exist.
func grouped(records ...protocol.Record) protocol.Record {
	body := &protocol.ChunkResults{}
	for _, rec := range records {
		body.Parts = append(body.Parts, *rec.ChunkResult)
	}
	return protocol.Record{ChunkResults: body}
}

// Several executors on one stream report the same items, late and twice, while
// callers cancel. Whatever the order, an item has the first result reported
// before its job ended, and no other.
func TestOneWinningResultAnItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		want := &reference{first: map[itemID]protocol.Offset{}, ended: map[protocol.JobID]bool{}}
		open := openSet{1: true, 2: true, 3: true}
		for job := range drawnJobs {
			rec := manifest(fmt.Sprintf("job%d", job), fmt.Sprintf("keyjob%d", job), drawnItems, drawnItems, drawnItems)
			l.Apply(protocol.Offset(job), &rec, open)
		}
		for at := range protocol.Offset(rapid.IntRange(0, 60).Draw(t, "records")) {
			rec := drawRecord(t, at)
			open[3] = rapid.Bool().Draw(t, "third open")
			want.apply(&rec, l.Apply(drawnJobs+at, &rec, open))
		}
		require.Equal(t, want.first, winners(t, l))
	})
}

// winners reads the winning result of each item, and fails if two segments
// claim one.
func winners(t require.TestingT, l *Ledger) map[itemID]protocol.Offset {
	found := map[itemID]protocol.Offset{}
	for _, job := range l.All() {
		counted := 0
		for chunk := range job.Chunks {
			for _, segment := range l.ResultSegments(job.ID, chunk) {
				for item := range protocol.MaxChunkItems {
					if !segment.Items.Has(item) {
						continue
					}
					id := itemID{job.ID, chunk, item}
					require.NotContains(t, found, id)
					found[id] = segment.Data
					counted++
				}
			}
		}
		require.Equal(t, counted, job.Completed+job.Failed)
		require.Equal(t, job.Status == Completed, counted == job.Total && job.Status != Cancelled && job.Status != Expired)
	}
	return found
}

// An instance starts from a snapshot that was taken at any position, and
// replays the rest. It must come to the very state of one that replayed all,
// or the two would disagree on who holds a chunk.
func TestReplayFromAnySnapshotEqualsReplayOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := New()
		open := openSet{1: true, 2: true}
		var restored *Ledger
		count := rapid.IntRange(1, 60).Draw(t, "records")
		cut := rapid.IntRange(0, count-1).Draw(t, "cut")
		for at := range protocol.Offset(count) {
			if int(at) == cut {
				restored = Restore(roundTrip(t, whole.Snapshot()))
			}
			rec := drawRecord(t, at)
			open[3] = rapid.Bool().Draw(t, "third open")
			verdict := whole.Apply(at, &rec, open)
			if restored != nil {
				require.Equal(t, verdict, restored.Apply(at, &rec, open))
			}
		}
		require.Equal(t, encoded(t, whole.Snapshot()), encoded(t, restored.Snapshot()))
	})
}

func encoded(t require.TestingT, s Snapshot) []byte {
	data, err := protocol.Marshal(s)
	require.NoError(t, err)
	return data
}

func roundTrip(t require.TestingT, s Snapshot) Snapshot {
	var back Snapshot
	require.NoError(t, protocol.Unmarshal(encoded(t, s), &back))
	return back
}
