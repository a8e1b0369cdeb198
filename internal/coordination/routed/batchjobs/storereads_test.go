package batchjobs

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/standin/sharedstore"
)

// oneOwner is a fleet with one other instance, which owns every partition.
type oneOwner struct{ noPeers }

func (oneOwner) OwnerOf(int) (mesh.Peer, bool) {
	return mesh.Peer{Instance: mesh.Instance{Name: "o", Address: "10.0.0.1:1"}}, true
}

// replyingOwner answers calls with a verdict or an error.
type replyingOwner struct {
	verdict Verdict
	err     error
}

func (c replyingOwner) Call(_ context.Context, _, _ string, _, reply any) error {
	switch r := reply.(type) {
	case *ResultsReply:
		r.Verdict = c.verdict
	case *BodyReply:
		r.Verdict = c.verdict
	}
	return c.err
}

// unreadable is a store whose reads of a whole partition fail after a page.
type unreadable struct{ *sharedstore.Direct }

func (unreadable) Newest(context.Context, external.Partition) (external.KeyedPage, error) {
	return external.KeyedPage{}, &external.IncompleteReadError{Pages: 1, Records: 4, Bytes: 90, Err: external.ErrNotPerformed}
}

// loggingService is the service of an instance that owns nothing, with its log.
func loggingService(t *testing.T, peers Peers, owner replyingOwner) (*JobService, *testPartition, *bytes.Buffer) {
	p := newTestPartition(t, 1)
	logs := &bytes.Buffer{}
	p.opts.Logger = log.NewLogfmtLogger(logs)
	p.opts.Peers, p.opts.Caller, p.opts.Member = peers, owner, peers.Self().Name
	p.opts.StoreAge = func() time.Duration { return 0 }
	service := NewJobService(p.opts, &PartitionOwner{opts: p.opts, owned: map[int]*ownedPartition{}}, nil)
	sleep(discoveryTime)
	return service, p, logs
}

// Callers get 503 for jobs that were accepted. Whether owners are unknown, not reached or not
// loaded asks for different repairs, and the answer to the caller is the same.
func TestReadFromStoreSaysWhy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for want, c := range map[string]struct {
			peers Peers
			owner replyingOwner
		}{
			"why=no_owner_known owner= owner_err=null":        {peers: noPeers{}},
			"why=owner_not_reached owner=o owner_err=refused": {peers: oneOwner{}, owner: replyingOwner{err: errors.New("refused")}},
			"why=not_held owner=o owner_err=null":             {peers: oneOwner{}, owner: replyingOwner{verdict: NotHeld}},
		} {
			service, _, logs := loggingService(t, c.peers, c.owner)
			require.Equal(t, Done, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
			require.Contains(t, logs.String(), "event=job_read_from_store job=job partition=0 call=results "+want+" outcome=done took_ms=0 whole=true from=0 next=")
			logs.Reset()
			require.Equal(t, Done, service.Body(t.Context(), BodyCall{Job: jobID, Item: "item-0", Organisation: "o"}).Verdict)
			require.Contains(t, logs.String(), "event=job_read_from_store job=job partition=0 call=body "+want+" outcome=done took_ms=0 whole=false")
		}
	})
}

// Callers get 503 for a job whose owner is still loading its partition. Nothing is read from
// the store for them, and the line must say why.
func TestCallThatIsNotDoneSaysWhy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _, logs := loggingService(t, oneOwner{}, replyingOwner{verdict: NotDone})
		require.Equal(t, NotDone, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		require.Equal(t, NotDone, service.Body(t.Context(), BodyCall{Job: jobID, Item: "item-0", Organisation: "o"}).Verdict)
		for _, call := range []string{"results", "body"} {
			require.Contains(t, logs.String(), "event=job_call_not_done job=job partition=0 call="+call+" why=owner_not_loaded owner=o owner_err=null\n")
		}
		require.NotContains(t, logs.String(), "job_read_from_store")
	})
}

// The answer of an owner is used, and nothing is read from the store.
func TestAnswerOfOwnerIsNotLoggedAsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _, logs := loggingService(t, oneOwner{}, replyingOwner{verdict: Done})
		require.Equal(t, Done, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		require.NotContains(t, logs.String(), "job_read_from_store")
	})
}

// An owner that has not loaded its partition rejects the calls of its own callers as well.
func TestCallOnOwnPartitionThatIsNotLoadedNamesThisInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, p, logs := loggingService(t, noPeers{}, replyingOwner{})
		replica := newPartitionReplica(p.opts, p.at, nil)
		replica.owned = true
		service.owner.owned[0] = &ownedPartition{partitionReplica: replica}
		require.Equal(t, NotDone, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		require.Equal(t, NotDone, service.Body(t.Context(), BodyCall{Job: jobID, Item: "item-0", Organisation: "o"}).Verdict)
		require.Equal(t, NotDone, service.Cancel(t.Context(), JobCall{Job: jobID, Organisation: "o"}))
		for _, call := range []string{"results", "body", "cancel"} {
			require.Contains(t, logs.String(), "event=job_call_not_done job=job partition=0 call="+call+" why=owner_not_loaded owner=")
		}
		require.NoError(t, replica.load(t.Context()))
		require.Contains(t, logs.String(), "event=jobs_loaded jobs=1 next=2 owned=true records=2 took_ms=0")
	})
}

// A partition can't be loaded. The lines must say what was received in vain, and that the
// call on the job failed with it.
func TestFailedLoadSaysWhatWasReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, p, logs := loggingService(t, noPeers{}, replyingOwner{})
		p.opts.Log = unreadable{p.store}
		require.Equal(t, NotDone, service.Results(t.Context(), ResultsCall{Job: jobID, Organisation: "o"}).Verdict)
		require.Contains(t, logs.String(), `partition=0 event=jobs_load_failed owned=false pages=1 records=4 bytes=90 took_ms=0 err="platform did not perform the operation"`)
		require.Contains(t, logs.String(), `outcome=not_done took_ms=0 whole=true from=0 next=0 err="platform did not perform the operation"`)
	})
}

func TestCancellationIsLoggedAsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _, logs := loggingService(t, noPeers{}, replyingOwner{})
		require.Equal(t, Done, service.cancelInStore(t.Context(), JobCall{Job: jobID, Organisation: "o"}, readCause{why: isCancellation}))
		require.Contains(t, logs.String(), "event=job_read_from_store job=job partition=0 call=cancel why=cancel owner= owner_err=null outcome=done")
	})
}

func BenchmarkLogStoreRead(b *testing.B) {
	opts := &Options{Logger: log.NewLogfmtLogger(io.Discard)}
	service := &JobService{opts: opts}
	replica := newPartitionReplica(opts, external.Partition{}, nil)
	read := &storeRead{call: "results", job: jobID, cause: readCause{why: ownerNotLoaded}}
	b.ReportAllocs()
	for b.Loop() {
		service.logStoreRead(read, replica, NotDone, external.ErrNotPerformed)
	}
}
