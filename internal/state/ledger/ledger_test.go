package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// openSet holds the open sessions of a test.
type openSet map[protocol.SessionID]bool

func (o openSet) Open(id protocol.SessionID) bool { return o[id] }

const (
	first  protocol.SessionID = 1
	second protocol.SessionID = 2
)

var bothOpen = openSet{first: true, second: true}

// replay applies records in turn.
type replay struct {
	*Ledger
	t    *testing.T
	at   protocol.Offset
	open openSet
}

func newReplay(t *testing.T) *replay {
	return &replay{Ledger: New(), t: t, open: openSet{first: true, second: true}}
}

func (r *replay) put(by protocol.SessionID, rec protocol.Record) protocol.Verdict {
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
	var won, bad Bitmap
	for _, i := range items {
		won.Set(i)
	}
	for _, i := range failed {
		bad.Set(i)
	}
	return protocol.Record{ChunkResult: &protocol.ChunkResult{
		Job: protocol.JobID(job), Chunk: chunk, Data: data, Items: won.Bytes(), Failed: bad.Bytes(), At: 77,
	}}
}

func (r *replay) job(id string) JobView {
	view, ok := r.Job(protocol.JobID(id))
	require.True(r.t, ok)
	return view
}

// A client sends its job twice because the first answer got lost. Two jobs
// would run and be billed twice; the second manifest must find the first.
func TestResentJobIsTheFirstOne(t *testing.T) {
	r := newReplay(t)
	require.Equal(t, protocol.Accepted, r.put(first, manifest("a", "key", 2)))
	require.Equal(t, protocol.Duplicate, r.put(second, manifest("b", "key", 2)))
	view, ok := r.JobByIdempotencyKey("cascadia", "key")
	require.True(t, ok)
	require.EqualValues(t, "a", view.ID)
	require.Len(t, r.Jobs("cascadia"), 1)
	require.Empty(t, r.Jobs("dobrescu"))
}

// Two instances reach for the same chunk. If both held it, every item would
// run twice.
func TestChunkHasOneHolder(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2, 2))
	require.Equal(t, protocol.Accepted, r.put(first, claimOf("a", 0)))
	require.Equal(t, protocol.AlreadyHeld, r.put(second, claimOf("a", 0)))
	require.Equal(t, protocol.Accepted, r.put(second, claimOf("a", 0, 1)))
	require.Equal(t, []ChunkID{{"a", 0}}, r.HeldBy(first))
	require.Equal(t, []ChunkID{{"a", 1}}, r.HeldBy(second))
}

// An instance dies with chunks in flight. Once its session has ended another
// takes them, or the job would wait for ever.
func TestChunkOfAnEndedSessionIsFree(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2))
	r.put(first, claimOf("a", 0))
	require.Empty(t, r.Claimable("a", r.open, 0, 9, 10))
	delete(r.open, first)
	require.Equal(t, []int{0}, r.Claimable("a", r.open, 0, 9, 10))
	require.Equal(t, protocol.Accepted, r.put(second, claimOf("a", 0)))
	require.Equal(t, []ChunkID{{"a", 0}}, r.HeldBy(second))
}

// An instance that leaves gives its chunks back, and only its own.
func TestOnlyTheHolderReleases(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2))
	r.put(first, claimOf("a", 0))
	release := protocol.Record{ChunkRelease: &protocol.ChunkRelease{Job: "a", Chunks: []int{0}}}
	require.Equal(t, protocol.NotHolder, r.put(second, release))
	require.Equal(t, protocol.Accepted, r.put(first, release))
	require.Equal(t, []int{0}, r.Claimable("a", r.open, 0, 9, 10))
}

// A paused instance wakes up and reports items that another has reported since.
// The caller must see one result an item, the first.
func TestFirstResultOfAnItemStands(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 3))
	r.put(first, claimOf("a", 0))
	require.Equal(t, protocol.Accepted, r.put(second, resultOf("a", 0, 500, []int{0, 1}, []int{1})))
	require.Equal(t, protocol.Accepted, r.put(first, resultOf("a", 0, 501, []int{1, 2}, nil)))
	require.Equal(t, protocol.AlreadyEnded, r.put(first, resultOf("a", 0, 502, []int{0, 1, 2}, nil)))
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

// A second copy of a result arrives while the job still runs. It is dropped.
func TestRepeatedResultIsDropped(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 3))
	r.put(first, resultOf("a", 0, 500, []int{0}, nil))
	require.Equal(t, protocol.Duplicate, r.put(first, resultOf("a", 0, 501, []int{0}, nil)))
	require.Equal(t, 1, r.job("a").Completed)
}

// A result that names items the chunk does not have, or failed items it does
// not report, comes from a faulty writer and changes nothing.
func TestMalformedResultChangesNothing(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 3))
	require.Equal(t, protocol.Malformed, r.put(first, resultOf("a", 0, 500, []int{3}, nil)))
	require.Equal(t, protocol.Malformed, r.put(first, resultOf("a", 0, 500, []int{0}, []int{1})))
	require.Equal(t, protocol.Malformed, r.put(first, resultOf("a", 0, 500, nil, nil)))
	require.Equal(t, protocol.Malformed, r.put(first, resultOf("a", 1, 500, []int{0}, nil)))
	require.Equal(t, protocol.Malformed, r.put(first, resultOf("a", 0, -1, []int{0}, nil)))
	require.Zero(t, r.job("a").Completed)
}

// The cancel of a caller and the results of executors cross. What precedes the
// cancel in the stream stands; nothing after it does.
func TestCancelledJobTakesNoMoreResults(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2, 2))
	r.put(first, claimOf("a", 0))
	r.put(first, resultOf("a", 0, 500, []int{0}, nil))
	cancel := protocol.Record{JobCancel: &protocol.JobCancel{Job: "a", Organisation: "cascadia"}}
	require.Equal(t, protocol.Accepted, r.put(second, cancel))
	require.Equal(t, protocol.AlreadyEnded, r.put(first, resultOf("a", 0, 501, []int{1}, nil)))
	require.Equal(t, protocol.AlreadyEnded, r.put(first, claimOf("a", 1)))
	require.Equal(t, protocol.AlreadyEnded, r.put(first, cancel))
	require.Empty(t, r.HeldBy(first))
	require.Equal(t, Cancelled, r.job("a").Status)
	require.Equal(t, 1, r.job("a").Completed)
}

// A caller guesses the id of another organisation's job. The cancel must look
// as if the job did not exist.
func TestCancelNeedsTheOwner(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2))
	cancel := protocol.Record{JobCancel: &protocol.JobCancel{Job: "a", Organisation: "dobrescu"}}
	require.Equal(t, protocol.UnknownSubject, r.put(first, cancel))
	require.Equal(t, InProgress, r.job("a").Status)
}

// A job that is past its deadline ends, and its key is free again only after
// the job is forgotten. A running job can't be forgotten.
func TestExpireAndForget(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "key", 2))
	forget := protocol.Record{JobForget: &protocol.JobForget{Job: "a"}}
	require.Equal(t, protocol.Conflict, r.put(first, forget))
	require.Equal(t, protocol.Accepted, r.put(first, protocol.Record{JobExpire: &protocol.JobExpire{Job: "a", At: 5}}))
	require.Equal(t, protocol.AlreadyEnded, r.put(first, protocol.Record{JobExpire: &protocol.JobExpire{Job: "a"}}))
	require.Equal(t, Expired, r.job("a").Status)
	require.Equal(t, protocol.Accepted, r.put(first, forget))
	require.Equal(t, protocol.UnknownSubject, r.put(first, resultOf("a", 0, 1, []int{0}, nil)))
	require.Equal(t, protocol.Accepted, r.put(first, manifest("b", "key", 2)))
}

// Input and results are appended anew before retention drops them. The ledger
// must follow both, and must not take a move of something it does not hold.
func TestMovedDataIsFollowed(t *testing.T) {
	r := newReplay(t)
	r.put(first, manifest("a", "", 2, 2))
	r.put(first, resultOf("a", 0, 500, []int{0, 1}, nil))
	r.put(first, resultOf("a", 1, 501, []int{0}, nil))
	move := func(chunk int, from, to protocol.Offset) protocol.Verdict {
		return r.put(first, protocol.Record{DataMoved: &protocol.DataMoved{Job: "a", Chunk: chunk, From: from, To: to}})
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
		back, ok := ParseBitmap(b.Bytes())
		require.True(t, ok)
		require.Equal(t, b, back)
	}
	_, ok := ParseBitmap(make([]byte, protocol.MaxChunkItems/8+1))
	require.False(t, ok)
}
