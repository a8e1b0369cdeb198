package batchjobs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/wait"
)

// place is a partition in a store, with a job of some items.
type place struct {
	t     *testing.T
	store *sharedstore.Direct
	opts  *Options
	at    external.Partition
}

const jobID = "job"

func newPlace(t *testing.T, items int) *place {
	p := &place{
		t: t, store: &sharedstore.Direct{Store: sharedstore.New(1)},
		at: external.Partition{Topic: "keyed.jobs"},
	}
	p.opts = &Options{
		Topic: p.at.Topic, Partitions: 1, RecordBytes: 64 << 10, CallBytes: 256 << 10,
		Log: p.store, StoreAnswered: func() {}, Peers: nobody{}, Logger: log.NewNopLogger(),
	}
	job := &jobs.Job{ID: jobID, Organisation: "o", Submitted: time.Now()}
	for i := range items {
		job.Items = append(job.Items, jobs.Item{ID: fmt.Sprint("item-", i), Path: "/", Body: []byte("body")})
	}
	records, err := jobs.EncodeJob(job, p.opts.RecordBytes)
	require.NoError(t, err)
	_, err = p.store.Append(t.Context(), p.at, records, external.AnyEnd)
	require.NoError(t, err)
	return p
}

// nobody is a fleet without other instances.
type nobody struct{}

func (nobody) Peers() []mesh.Peer            { return nil }
func (nobody) OwnerOf(int) (mesh.Peer, bool) { return mesh.Peer{}, false }
func (nobody) Claims() []mesh.Claim          { return nil }

// hold begins to hold the partition.
func (p *place) hold() *holding {
	h := newHolding(p.opts, p.at, nil)
	go h.serve(p.t.Context())
	return h
}

// listed reads the job as a newcomer finds it.
func (p *place) listed() *jobs.Listed {
	page, err := p.store.Newest(p.t.Context(), p.at)
	require.NoError(p.t, err)
	state := jobs.NewPartition()
	require.NoError(p.t, state.Load(page))
	l, ok := state.Job(jobID)
	require.True(p.t, ok)
	return l
}

func (p *place) requireEachOnce(items int) {
	p.t.Helper()
	seen := map[string]bool{}
	for position, r := range p.listed().Results {
		require.False(p.t, seen[r.Item], "%s stands at a second position, %d", r.Item, position)
		seen[r.Item] = true
	}
	require.Len(p.t, seen, items)
}

func done(item int, text string) finished {
	return finished{job: jobID, result: jobs.Result{Item: fmt.Sprint("item-", item), Outcome: jobs.Succeeded, Text: text}}
}

// An item was run by two instances, after its partition was dealt anew, and both
// results reach the holder at the same moment. A caller that reads the job finds
// the item twice, and the office bills two reports.
func TestItemThatFinishesTwiceIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		h := p.hold()
		h.finish(done(0, "one"))
		h.finish(done(0, "other"))
		h.finish(done(1, "two"))
		pass(time.Second)
		h.finish(done(0, "late"))
		pass(time.Second)
		p.requireEachOnce(2)
		require.Equal(t, "one", p.listed().Results[0].Text)
	})
}

// A holder was paused while its partition went to another one. Both list results
// of the same items. What stands at a position must not change, and no item may
// get a second one.
func TestTwoHoldersListEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 20
		p := newPlace(t, items)
		one, other := p.hold(), p.hold()
		for i := range items {
			one.finish(done(i, "one"))
			other.finish(done(items-1-i, "other"))
			pass(37 * time.Millisecond)
		}
		pass(2 * time.Second)
		p.requireEachOnce(items)
		require.Equal(t, p.listed().Results, one.state.Jobs()[jobID].Results)
		require.Equal(t, p.listed().Results, other.state.Jobs()[jobID].Results)
	})
}

// The answer to an append is lost, and the append is done: at once, or seconds
// later, or never. The result is listed once all the same.
func TestLostAnswerOfAnAppend(t *testing.T) {
	for name, late := range map[string]time.Duration{"done": 0, "late": 2 * time.Second, "never": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlace(t, 3)
				plain := &sharedstore.Direct{Store: p.store.Store}
				lost := 0
				p.store.Before = func(records []external.KeyedRecord) error {
					if lost++; lost > 2 {
						return nil
					}
					page, err := plain.Newest(t.Context(), p.at)
					require.NoError(t, err)
					end := page.End
					if late == 0 {
						_, err := plain.Append(t.Context(), p.at, records, end)
						require.NoError(t, err)
					} else if late > 0 {
						time.AfterFunc(late, func() { _, _ = plain.Append(t.Context(), p.at, records, end) })
					}
					return external.ErrUnavailable
				}
				h := p.hold()
				for i := range 3 {
					h.finish(done(i, "text"))
					pass(150 * time.Millisecond)
				}
				pass(5 * time.Second)
				p.requireEachOnce(3)
			})
		})
	}
}

// A job ends while a result of it waits. Nothing more is listed.
func TestEndedJobGetsNoFurtherResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		h := p.hold()
		pass(time.Second)
		_, err := p.store.Append(t.Context(), p.at, []external.KeyedRecord{jobs.EncodeEnd(jobID)}, external.AnyEnd)
		require.NoError(t, err)
		h.finish(done(0, "text"))
		pass(time.Second)
		require.Empty(t, p.listed().Results)
		require.True(t, p.listed().Ended)
	})
}

// slowStart is a store that takes a while to give a whole partition.
type slowStart struct {
	*sharedstore.Direct
	takes time.Duration
}

// Newest implements external.KeyedLog.
func (s slowStart) Newest(ctx context.Context, at external.Partition) (external.KeyedPage, error) {
	wait.For(ctx, s.takes)
	return s.Direct.Newest(ctx, at)
}

// A partition goes to another instance while the last item of a job ends at the one
// that held it, and the store is slow. The result reaches the new holder before the
// store has given it the job. The caller waits for that result until the end of the
// job's time, though the item was done, and no target works on it.
func TestResultThatComesBeforeItsPartitionIsListed(t *testing.T) {
	for _, takes := range []time.Duration{0, listingPause / 2, time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlace(t, 1)
			p.opts.Log = slowStart{Direct: p.store, takes: takes}
			h := p.hold()
			h.finish(done(0, "text"))
			pass(takes + time.Second)
			p.requireEachOnce(1)
		})
	}
}

func pass(d time.Duration) { <-time.After(d) }

// An instance has not looked at a partition for a while, and what came since then is
// more than one answer of the store holds. A caller asks it for a job that stands at
// the end: it was accepted, and must not be said not to exist.
func TestFreshReadGoesOnToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		d := NewDesk(p.opts, &Keeper{opts: p.opts, held: map[int]*held{}}, nil)
		require.Equal(t, Done, d.resultsHere(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		p.store.MostRead = 3
		for n := range 10 {
			job := &jobs.Job{ID: fmt.Sprint("later-", n), Organisation: "o", Submitted: time.Now(), Items: []jobs.Item{{ID: "i", Path: "/"}}}
			records, err := jobs.EncodeJob(job, p.opts.RecordBytes)
			require.NoError(t, err)
			_, err = p.store.Append(t.Context(), p.at, records, external.AnyEnd)
			require.NoError(t, err)
		}
		require.Equal(t, Done, d.resultsHere(t.Context(), ResultsCall{Job: "later-9", Organisation: "o"}).Verdict)
		require.Equal(t, Missing, d.resultsHere(t.Context(), ResultsCall{Job: "never", Organisation: "o"}).Verdict)
	})
}
