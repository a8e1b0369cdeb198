package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// openSessions implements state.Sessions with a fixed set of open sessions.
type openSessions map[protocol.SessionID]bool

func (o openSessions) Open(id protocol.SessionID) bool { return o[id] }

const (
	session1 protocol.SessionID = 1
	session2 protocol.SessionID = 2
)

var bothOpen = openSessions{session1: true, session2: true}

// testLedger applies records at consecutive offsets.
type testLedger struct {
	*Ledger
	t    *testing.T
	at   protocol.Offset
	open openSessions
}

func newTestLedger(t *testing.T) *testLedger {
	return &testLedger{Ledger: New(), t: t, open: openSessions{session1: true, session2: true}}
}

func (r *testLedger) write(by protocol.SessionID, rec protocol.Record) protocol.Verdict {
	rec.ID.Session = by
	verdict := r.Apply(r.at, &rec, r.open)
	r.at++
	return verdict
}

func manifest(job, key string, items ...int) protocol.Record {
	body := &protocol.JobSubmit{
		Job:            protocol.JobID(job),
		Organisation:   "cascadia",
		IdempotencyKey: key,
		Endpoint:       "/v1/completions",
		Deadline:       time.Unix(1000, 0).UTC(),
		Created:        time.Unix(10, 0).UTC(),
	}
	for i, count := range items {
		body.Chunks = append(body.Chunks, protocol.ChunkRef{Offset: protocol.Offset(100 + i), Items: count})
	}
	return protocol.Record{JobSubmit: body}
}

func claimOf(job string, chunks ...int) protocol.Record {
	return protocol.Record{ChunkClaim: &protocol.ChunkClaim{Job: protocol.JobID(job), Chunks: chunks}}
}

func resultOf(job string, chunk int, data protocol.Offset, items, failed []int) protocol.Record {
	var reportedBits, failedBits Bitmap
	for _, i := range items {
		reportedBits.Set(i)
	}
	for _, i := range failed {
		failedBits.Set(i)
	}
	return protocol.Record{ChunkResult: &protocol.ChunkResult{
		Job: protocol.JobID(job), Chunk: chunk, Data: data, Items: reportedBits.Bytes(), Failed: failedBits.Bytes(), At: 77,
	}}
}

func (r *testLedger) job(id string) JobView {
	view, ok := r.Job(protocol.JobID(id))
	require.True(r.t, ok)
	return view
}

// A client sends its job again because the first response was lost. Two jobs
// would run and be billed twice, so the second manifest must be rejected as a
// duplicate of the first.
func TestResentJobIsDuplicate(t *testing.T) {
	r := newTestLedger(t)
	require.Equal(t, protocol.Accepted, r.write(session1, manifest("a", "key", 2)))
	require.Equal(t, protocol.Duplicate, r.write(session2, manifest("b", "key", 2)))
	view, ok := r.JobByIdempotencyKey("cascadia", "key")
	require.True(t, ok)
	require.EqualValues(t, "a", view.ID)
	require.Len(t, r.Jobs("cascadia"), 1)
	require.Empty(t, r.Jobs("dobrescu"))
}

// Two instances claim the same chunk. If both held it, every item would run
// twice.
func TestChunkHasOneHolder(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2, 2))
	require.Equal(t, protocol.Accepted, r.write(session1, claimOf("a", 0)))
	require.Equal(t, protocol.AlreadyHeld, r.write(session2, claimOf("a", 0)))
	require.Equal(t, protocol.Accepted, r.write(session2, claimOf("a", 0, 1)))
	require.Equal(t, []ChunkID{{"a", 0}}, r.HeldBy(session1))
	require.Equal(t, []ChunkID{{"a", 1}}, r.HeldBy(session2))
}

// An instance crashes while it holds chunks. Once its session has ended, another
// instance must be able to claim them, or the job would never complete.
func TestChunkOfEndedSessionIsClaimable(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2))
	r.write(session1, claimOf("a", 0))
	require.Empty(t, r.Claimable("a", r.open, 0, 9, 10))
	delete(r.open, session1)
	require.Equal(t, []int{0}, r.Claimable("a", r.open, 0, 9, 10))
	require.Equal(t, protocol.Accepted, r.write(session2, claimOf("a", 0)))
	require.Equal(t, []ChunkID{{"a", 0}}, r.HeldBy(session2))
}

// An instance that shuts down releases its chunks. It must not be able to release
// chunks of other instances.
func TestOnlyTheHolderReleases(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2))
	r.write(session1, claimOf("a", 0))
	release := protocol.Record{ChunkRelease: &protocol.ChunkRelease{Job: "a", Chunks: []int{0}}}
	require.Equal(t, protocol.NotHolder, r.write(session2, release))
	require.Equal(t, protocol.Accepted, r.write(session1, release))
	require.Equal(t, []int{0}, r.Claimable("a", r.open, 0, 9, 10))
}

// A paused instance resumes and reports items that another instance has reported
// meanwhile. The caller must see exactly one result per item, the first.
func TestFirstResultOfItemWins(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 3))
	r.write(session1, claimOf("a", 0))
	require.Equal(t, protocol.Accepted, r.write(session2, resultOf("a", 0, 500, []int{0, 1}, []int{1})))
	require.Equal(t, protocol.Accepted, r.write(session1, resultOf("a", 0, 501, []int{1, 2}, nil)))
	require.Equal(t, protocol.AlreadyEnded, r.write(session1, resultOf("a", 0, 502, []int{0, 1, 2}, nil)))
	view := r.job("a")
	require.Equal(t, Completed, view.Status)
	require.Equal(t, 2, view.Completed)
	require.Equal(t, 1, view.Failed)
	require.EqualValues(t, 77, view.EndedAt)
	segments := r.ResultSegments("a", 0)
	require.Len(t, segments, 2)
	require.Equal(t, 2, segments[0].Items.Count())
	require.Equal(t, 1, segments[1].Items.Count())
	require.True(t, segments[1].Items.Has(2))
}

// A result is reported again while the job is still running. The second copy must
// be rejected.
func TestRepeatedResultIsDropped(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 3))
	r.write(session1, resultOf("a", 0, 500, []int{0}, nil))
	require.Equal(t, protocol.Duplicate, r.write(session1, resultOf("a", 0, 501, []int{0}, nil)))
	require.Equal(t, 1, r.job("a").Completed)
}

// A faulty writer reports items that the chunk does not have, or marks items as
// failed without reporting them. The record must change nothing.
func TestMalformedResultChangesNothing(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 3))
	require.Equal(t, protocol.Malformed, r.write(session1, resultOf("a", 0, 500, []int{3}, nil)))
	require.Equal(t, protocol.Malformed, r.write(session1, resultOf("a", 0, 500, []int{0}, []int{1})))
	require.Equal(t, protocol.Malformed, r.write(session1, resultOf("a", 0, 500, nil, nil)))
	require.Equal(t, protocol.Malformed, r.write(session1, resultOf("a", 1, 500, []int{0}, nil)))
	require.Equal(t, protocol.Malformed, r.write(session1, resultOf("a", 0, -1, []int{0}, nil)))
	require.Zero(t, r.job("a").Completed)
}

// A caller cancels a job while executors report results. Results before the
// cancellation in the stream count; results and claims after it are rejected.
func TestCancelledJobTakesNoMoreResults(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2, 2))
	r.write(session1, claimOf("a", 0))
	r.write(session1, resultOf("a", 0, 500, []int{0}, nil))
	cancel := protocol.Record{JobCancel: &protocol.JobCancel{Job: "a", Organisation: "cascadia"}}
	require.Equal(t, protocol.Accepted, r.write(session2, cancel))
	require.Equal(t, protocol.AlreadyEnded, r.write(session1, resultOf("a", 0, 501, []int{1}, nil)))
	require.Equal(t, protocol.AlreadyEnded, r.write(session1, claimOf("a", 1)))
	require.Equal(t, protocol.AlreadyEnded, r.write(session1, cancel))
	require.Empty(t, r.HeldBy(session1))
	require.Equal(t, Cancelled, r.job("a").Status)
	require.Equal(t, 1, r.job("a").Completed)
}

// A caller guesses the id of another organisation's job. Its cancellation must
// get the same verdict as for a job that does not exist.
func TestCancelNeedsTheOwner(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2))
	cancel := protocol.Record{JobCancel: &protocol.JobCancel{Job: "a", Organisation: "dobrescu"}}
	require.Equal(t, protocol.UnknownSubject, r.write(session1, cancel))
	require.Equal(t, InProgress, r.job("a").Status)
}

// A job expires at its deadline. Its idempotency key may be used again only after
// the job has been deleted, and a running job can't be deleted.
func TestExpireAndForget(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "key", 2))
	forget := protocol.Record{JobForget: &protocol.JobForget{Job: "a"}}
	require.Equal(t, protocol.Conflict, r.write(session1, forget))
	require.Equal(t, protocol.Accepted, r.write(session1, protocol.Record{JobExpire: &protocol.JobExpire{Job: "a", At: 5}}))
	require.Equal(t, protocol.AlreadyEnded, r.write(session1, protocol.Record{JobExpire: &protocol.JobExpire{Job: "a"}}))
	require.Equal(t, Expired, r.job("a").Status)
	require.Equal(t, protocol.Accepted, r.write(session1, forget))
	require.Equal(t, protocol.UnknownSubject, r.write(session1, resultOf("a", 0, 1, []int{0}, nil)))
	require.Equal(t, protocol.Accepted, r.write(session1, manifest("b", "key", 2)))
}

// Inputs and results are appended again before the log's retention drops them.
// The ledger must update the offsets of both, and must reject a move from an
// offset to which it does not refer.
func TestMovedDataOffsetsAreUpdated(t *testing.T) {
	r := newTestLedger(t)
	r.write(session1, manifest("a", "", 2, 2))
	r.write(session1, resultOf("a", 0, 500, []int{0, 1}, nil))
	r.write(session1, resultOf("a", 1, 501, []int{0}, nil))
	move := func(chunk int, from, to protocol.Offset) protocol.Verdict {
		return r.write(session1, protocol.Record{DataMoved: &protocol.DataMoved{Job: "a", Chunk: chunk, From: from, To: to}})
	}
	require.Equal(t, protocol.Accepted, move(0, 500, 900))
	require.Equal(t, protocol.Accepted, move(1, 501, 901))
	require.Equal(t, protocol.Accepted, move(1, 101, 902))
	require.Equal(t, protocol.Conflict, move(1, 101, 903))
	require.EqualValues(t, 900, r.ResultSegments("a", 0)[0].Data)
	require.Equal(t, []DataRef{
		{ChunkID{"a", 0}, 900}, {ChunkID{"a", 1}, 902}, {ChunkID{"a", 1}, 901},
	}, r.DataBefore("a", 10_000))
	require.Empty(t, r.DataBefore("a", 900))
}

func TestBitmapBytes(t *testing.T) {
	for count := range protocol.MaxChunkItems + 1 {
		b := firstBits(count)
		require.Equal(t, count, b.Count())
		decoded, ok := ParseBitmap(b.Bytes())
		require.True(t, ok)
		require.Equal(t, b, decoded)
	}
	_, ok := ParseBitmap(make([]byte, protocol.MaxChunkItems/8+1))
	require.False(t, ok)
}
