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

// A job is cancelled while this instance can't read the log. When it receives the
// notice from another instance, it must stop the running items of the job, start
// no more of them, and continue to run other jobs.
func TestCancelNoticeStopsJob(t *testing.T) {
	now := time.Unix(0, 0)
	resolve := func(protocol.ModelName) (protocol.ServiceName, bool) { return "reports", true }
	w := newWorkset(time.Minute, equalWeights)
	for _, job := range []protocol.JobID{"cancelled", "other"} {
		w.add(loadedChunk{
			id: ledger.ChunkID{Job: job}, organisation: "o", deadline: now.Add(time.Hour),
			items: []bulk.Item{{CustomID: "a"}, {CustomID: "b"}},
		})
	}
	stopped := 0
	for range 2 {
		_, ok := w.start("reports", "", now, resolve, func(cause error) {
			require.ErrorIs(t, cause, errJobEnded)
			stopped++
		})
		require.True(t, ok)
	}
	w.stopJob("cancelled")
	w.stopJob("unknown")
	require.Equal(t, 2, stopped)
	for {
		item, ok := w.start("reports", "", now, resolve, func(error) {})
		if !ok {
			break
		}
		require.Equal(t, protocol.JobID("other"), item.Job)
	}
	require.Equal(t, map[protocol.JobID]bool{"cancelled": true}, w.cancelNoticed)
	w.reconcile(ledger.ChunkID{Job: "cancelled"}, claimStatus{ended: true})
	require.Empty(t, w.cancelNoticed, "the notice must be removed after the cancel is read")
}

// directPeer implements coordination.Peers with one other instance, whose receiver
// is called directly.
type directPeer struct {
	receiver *Receiver
	received chan protocol.JobID
}

func (p *directPeer) List() []coordination.Peer { return []coordination.Peer{{Instance: "b"}} }

func (p *directPeer) Call(_ context.Context, _ protocol.InstanceID, method string, args, reply any) error {
	if method != methodCancelled {
		return errors.New("no such method " + method)
	}
	notice := args.(CancelNotice)
	p.received <- notice.Job
	return p.receiver.Cancelled(notice, reply.(*CancelNoticeReply))
}

// The instance that received a cancel notifies the others. If the notice did not
// reach the receiver, an instance that can't read the log would continue the job.
func TestCancelNoticeReachesOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &directPeer{receiver: &Receiver{Executor: NewExecutor("", nil, nil, nil, Options{}, log.NewNopLogger())}, received: make(chan protocol.JobID, 1)}
		notices := NewCancelNotifier("", peer, time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = notices.Serve(ctx) }()
		notices.Notify("j")
		require.Equal(t, protocol.JobID("j"), <-peer.received)
	})
}
