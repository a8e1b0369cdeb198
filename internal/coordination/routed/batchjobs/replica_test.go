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
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/wait"
)

// testPartition is a partition in a store, with one job.
type testPartition struct {
	t     *testing.T
	store *sharedstore.Direct
	opts  *Options
	at    external.Partition
}

const jobID = "job"

func newTestPartition(t *testing.T, items int) *testPartition {
	p := &testPartition{
		t: t, store: &sharedstore.Direct{Store: sharedstore.New(1)},
		at: external.Partition{Topic: "keyed.jobs"},
	}
	p.opts = &Options{
		Topic: p.at.Topic, Partitions: 1, RecordBytes: 64 << 10, CallBytes: 256 << 10,
		Log: p.store, StoreAnswered: func() {}, Peers: noPeers{}, Logger: log.NewNopLogger(),
		SharedParts: func(map[string]string) []string { return nil },
		Quarantine:  quarantine.New(quarantine.Options{Logger: log.NewNopLogger()}),
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

// noPeers is a fleet without other instances.
type noPeers struct{}

func (noPeers) Self() mesh.Instance           { return mesh.Instance{} }
func (noPeers) Peers() []mesh.Peer            { return nil }
func (noPeers) OwnerOf(int) (mesh.Peer, bool) { return mesh.Peer{}, false }
func (noPeers) Claims() []mesh.Claim          { return nil }

// own starts a replica that owns the partition.
func (p *testPartition) own() *partitionReplica {
	replica := newPartitionReplica(p.opts, p.at, nil)
	go replica.serve(p.t.Context())
	return replica
}

// publishedJob returns the job as a new reader of the store sees it.
func (p *testPartition) publishedJob() *jobs.JobState {
	page, err := p.store.Newest(p.t.Context(), p.at)
	require.NoError(p.t, err)
	state := jobs.NewPartition()
	require.NoError(p.t, state.Load(page))
	job, ok := state.Job(jobID)
	require.True(p.t, ok)
	return job
}

func (p *testPartition) requireEachPublishedOnce(items int) {
	p.t.Helper()
	seen := map[string]bool{}
	for position, r := range p.publishedJob().Results {
		require.False(p.t, seen[r.Item], "%s has a second position, %d", r.Item, position)
		seen[r.Item] = true
	}
	require.Len(p.t, seen, items)
}

func succeeded(item int, text string) finishedItem {
	return finishedItem{job: jobID, result: jobs.Result{Item: fmt.Sprint("item-", item), Outcome: jobs.Succeeded, Text: text}}
}

// An item ran at two instances after its partition was reassigned, and the owner
// receives both results at the same time. If both were published, a caller would find
// the item twice, and its operator would bill two reports.
func TestItemThatFinishesTwiceIsPublishedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 2)
		replica := p.own()
		replica.addResult(succeeded(0, "one"))
		replica.addResult(succeeded(0, "other"))
		replica.addResult(succeeded(1, "two"))
		sleep(time.Second)
		replica.addResult(succeeded(0, "late"))
		sleep(time.Second)
		p.requireEachPublishedOnce(2)
		require.Equal(t, "one", p.publishedJob().Results[0].Text)
	})
}

// An owner was paused while its partition was reassigned, and both owners publish
// results of the same items. A published position must not change, and no item may get
// a second one.
func TestTwoOwnersPublishEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 20
		p := newTestPartition(t, items)
		first, second := p.own(), p.own()
		for i := range items {
			first.addResult(succeeded(i, "one"))
			second.addResult(succeeded(items-1-i, "other"))
			sleep(37 * time.Millisecond)
		}
		sleep(2 * time.Second)
		p.requireEachPublishedOnce(items)
		require.Equal(t, p.publishedJob().Results, first.state.Jobs()[jobID].Results)
		require.Equal(t, p.publishedJob().Results, second.state.Jobs()[jobID].Results)
	})
}

// The response to an append is lost, and the append takes effect at once, seconds later
// or never. In each case the result must be published exactly once.
func TestAppendWithLostResponse(t *testing.T) {
	for name, delay := range map[string]time.Duration{"done": 0, "late": 2 * time.Second, "never": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPartition(t, 3)
				direct := &sharedstore.Direct{Store: p.store.Store}
				attempts := 0
				p.store.BeforeAppend = func(records []external.KeyedRecord) error {
					if attempts++; attempts > 2 {
						return nil
					}
					page, err := direct.Newest(t.Context(), p.at)
					require.NoError(t, err)
					end := page.End
					if delay == 0 {
						_, err := direct.Append(t.Context(), p.at, records, end)
						require.NoError(t, err)
					} else if delay > 0 {
						time.AfterFunc(delay, func() { _, _ = direct.Append(t.Context(), p.at, records, end) })
					}
					return external.ErrUnavailable
				}
				replica := p.own()
				for i := range 3 {
					replica.addResult(succeeded(i, "text"))
					sleep(150 * time.Millisecond)
				}
				sleep(5 * time.Second)
				p.requireEachPublishedOnce(3)
			})
		})
	}
}

// A job is cancelled while one of its results waits. No further result is published.
func TestCancelledJobGetsNoFurtherResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 2)
		replica := p.own()
		sleep(time.Second)
		_, err := p.store.Append(t.Context(), p.at, []external.KeyedRecord{jobs.EncodeCancellation(jobID)}, external.AnyEnd)
		require.NoError(t, err)
		replica.addResult(succeeded(0, "text"))
		sleep(time.Second)
		require.Empty(t, p.publishedJob().Results)
		require.True(t, p.publishedJob().Cancelled)
	})
}

// slowNewest is a store that takes some time to return a whole partition.
type slowNewest struct {
	*sharedstore.Direct
	delay time.Duration
}

// Newest implements external.KeyedLog.
func (s slowNewest) Newest(ctx context.Context, at external.Partition) (external.KeyedPage, error) {
	wait.For(ctx, s.delay)
	return s.Direct.Newest(ctx, at)
}

// A partition is reassigned while the last item of a job ends at the former owner, and
// the store is slow. The new owner receives the result before the store has returned the
// job. If the result were lost, the caller would wait for it until the job expires,
// though the item is done and no target works on it.
func TestResultReceivedBeforePartitionLoadsIsPublished(t *testing.T) {
	for _, delay := range []time.Duration{0, publishDelay / 2, time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPartition(t, 1)
			p.opts.Log = slowNewest{Direct: p.store, delay: delay}
			replica := p.own()
			replica.addResult(succeeded(0, "text"))
			sleep(delay + time.Second)
			p.requireEachPublishedOnce(1)
		})
	}
}

func sleep(d time.Duration) { <-time.After(d) }

// An instance has not read a partition for some time, and the records since then exceed
// one answer of the store. A job at the end of them was accepted, and the instance must
// not report it as missing.
func TestCatchUpReadsToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPartition(t, 2)
		service := NewJobService(p.opts, &PartitionOwner{opts: p.opts, owned: map[int]*ownedPartition{}}, nil)
		require.Equal(t, Done, service.resultsFromStore(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}, readCause{}).Verdict)
		p.store.MaxReadRecords = 3
		for n := range 10 {
			job := &jobs.Job{ID: fmt.Sprint("later-", n), Organisation: "o", Submitted: time.Now(), Items: []jobs.Item{{ID: "i", Path: "/"}}}
			records, err := jobs.EncodeJob(job, p.opts.RecordBytes)
			require.NoError(t, err)
			_, err = p.store.Append(t.Context(), p.at, records, external.AnyEnd)
			require.NoError(t, err)
		}
		require.Equal(t, Done, service.resultsFromStore(t.Context(), ResultsCall{Job: "later-9", Organisation: "o"}, readCause{}).Verdict)
		require.Equal(t, Missing, service.resultsFromStore(t.Context(), ResultsCall{Job: "never", Organisation: "o"}, readCause{}).Verdict)
	})
}
