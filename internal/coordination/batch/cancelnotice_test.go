package batch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
)

// A job is cancelled while this instance is cut off from the log. Told by
// another instance, it must stop what runs and start nothing more of that job,
// and still run the jobs of others.
func TestNoticeOfACancelStopsTheJob(t *testing.T) {
	now := time.Unix(0, 0)
	of := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	w := newWorkset(time.Minute, equalWeights)
	for _, job := range []protocol.JobID{"cancelled", "other"} {
		w.add(loadedChunk{
			id: ledger.ChunkID{Job: job}, organisation: "o", deadline: now.Add(time.Hour),
			items: []bulk.Item{{CustomID: "a"}, {CustomID: "b"}},
		})
	}
	stopped := 0
	for range 2 {
		_, ok := w.start("reports", now, of, func(cause error) {
			require.ErrorIs(t, cause, errJobEnded)
			stopped++
		})
		require.True(t, ok)
	}
	w.stopJob("cancelled")
	w.stopJob("unknown")
	require.Equal(t, 2, stopped)
	for {
		item, ok := w.start("reports", now, of, func(error) {})
		if !ok {
			break
		}
		require.Equal(t, protocol.JobID("other"), item.Job)
	}
	require.Equal(t, map[protocol.JobID]bool{"cancelled": true}, w.told)
	w.reconcile(ledger.ChunkID{Job: "cancelled"}, agreed{ended: true})
	require.Empty(t, w.told, "once read, the notice is forgotten")
}

// onePeer is another instance that is reached directly.
type onePeer struct {
	receiver *Receiver
	heard    chan protocol.JobID
}

func (p *onePeer) List() []coordination.Peer { return []coordination.Peer{{Instance: "b"}} }

func (p *onePeer) Call(_ context.Context, _ protocol.InstanceID, method string, args, reply any) error {
	if method != methodCancelled {
		return errors.New("no such method " + method)
	}
	notice := args.(Cancelled)
	p.heard <- notice.Job
	return p.receiver.Cancelled(notice, reply.(*Heard))
}

// The instance that took a cancel tells the others. Were the notice lost on the
// way to the receiver, a cut-off instance would go on with the job.
func TestCancelNoticeReachesTheOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &onePeer{receiver: &Receiver{Executor: NewExecutor("", nil, nil, nil, Options{}, log.NewNopLogger())}, heard: make(chan protocol.JobID, 1)}
		notices := NewCancelNotifier("", peer, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = notices.Serve(ctx) }()
		notices.Notify("j")
		require.Equal(t, protocol.JobID("j"), <-peer.heard)
	})
}
