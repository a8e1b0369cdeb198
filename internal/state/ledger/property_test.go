package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

// itemID identifies an item in the reference model.
type itemID struct {
	job         protocol.JobID
	chunk, item int
}

// reference is a simple model of the ledger's rules: the offset of the first
// result of each item, and the set of ended jobs.
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
		if _, exists := r.first[id]; !exists && items.Has(item) {
			r.first[id] = body.Data
		}
	}
}

const (
	drawnJobs   = 3
	drawnChunks = 3
	drawnItems  = 5
)

// drawRecord generates a record that one of several executors or callers may
// write. Over a test, records are late, repeated or reordered.
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

// grouped combines results of several chunks into one record. A chunk in it may
// not exist.
func grouped(records ...protocol.Record) protocol.Record {
	body := &protocol.ChunkResults{}
	for _, rec := range records {
		body.Parts = append(body.Parts, *rec.ChunkResult)
	}
	return protocol.Record{ChunkResults: body}
}

// Several executors report the same items late and repeatedly while callers
// cancel jobs. In any order of the records, an item must have only the first
// result that was reported before its job ended.
func TestOneResultPerItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		want := &reference{first: map[itemID]protocol.Offset{}, ended: map[protocol.JobID]bool{}}
		open := openSessions{1: true, 2: true, 3: true}
		for job := range drawnJobs {
			rec := manifest(fmt.Sprintf("job%d", job), fmt.Sprintf("keyjob%d", job), drawnItems, drawnItems, drawnItems)
			l.Apply(protocol.Offset(job), &rec, open)
		}
		for at := range protocol.Offset(rapid.IntRange(0, 60).Draw(t, "records")) {
			rec := drawRecord(t, at)
			open[3] = rapid.Bool().Draw(t, "third open")
			want.apply(&rec, l.Apply(drawnJobs+at, &rec, open))
		}
		require.Equal(t, want.first, acceptedResults(t, l))
	})
}

// acceptedResults returns the offset of the accepted result of each item. It
// fails the test if two segments contain the same item.
func acceptedResults(t require.TestingT, l *Ledger) map[itemID]protocol.Offset {
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

// An instance starts from a snapshot taken at an arbitrary offset and replays the
// remaining records. It must reach the same state as an instance that replayed
// all records, or the two would disagree on the holder of a chunk.
func TestReplayFromAnySnapshotEqualsReplayOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := New()
		open := openSessions{1: true, 2: true}
		var restored *Ledger
		count := rapid.IntRange(1, 60).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, count-1).Draw(t, "snapshotAt")
		for at := range protocol.Offset(count) {
			if int(at) == snapshotAt {
				restored = Restore(roundTrip(t, full.Snapshot()))
			}
			rec := drawRecord(t, at)
			open[3] = rapid.Bool().Draw(t, "third open")
			verdict := full.Apply(at, &rec, open)
			if restored != nil {
				require.Equal(t, verdict, restored.Apply(at, &rec, open))
			}
		}
		require.Equal(t, encoded(t, full.Snapshot()), encoded(t, restored.Snapshot()))
	})
}

func encoded(t require.TestingT, s Snapshot) []byte {
	data, err := protocol.Marshal(s)
	require.NoError(t, err)
	return data
}

func roundTrip(t require.TestingT, s Snapshot) Snapshot {
	var decoded Snapshot
	require.NoError(t, protocol.Unmarshal(encoded(t, s), &decoded))
	return decoded
}
