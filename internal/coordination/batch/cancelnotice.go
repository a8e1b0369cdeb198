package batch

import (
	"context"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/fanout"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
)

// ReceiverName is the name under which Receiver is registered with net/rpc.
const ReceiverName = "Batch"

const (
	methodCancelled = ReceiverName + ".Cancelled"
	// noticeParallelism is the number of instances that are notified in parallel.
	noticeParallelism = 16
	// noticeQueueSize limits the queued notices. When the queue is full, the
	// other instances learn of the cancel from the log only.
	noticeQueueSize = 256
)

// CancelNotice informs another instance that replay has accepted the cancel of a
// job.
type CancelNotice struct{ Job protocol.JobID }

// CancelNoticeReply is the empty reply to a CancelNotice.
type CancelNoticeReply struct{}

// Receiver receives cancel notices from other instances by net/rpc.
type Receiver struct{ Executor *Executor }

// Cancelled stops the job on this instance. net/rpc calls it by this name.
func (r *Receiver) Cancelled(args CancelNotice, _ *CancelNoticeReply) error {
	r.Executor.StopJob(args.Job)
	return nil
}

// StopJob cancels the runs of a job and starts no more of its items, although this
// instance has not read the cancel from the log yet.
//
// Without this, an instance that can't read the log would continue with the chunks
// it holds without seeing the cancel. Its targets would work on the cancelled job
// until the instance can read the log again.
func (e *Executor) StopJob(job protocol.JobID) {
	counters.Add("stopped_by_notice", 1)
	e.update(func(w *workset) { w.stopJob(job) })
}

// stopJob cancels the runs of a job and marks it as cancelled if a chunk of it is
// held.
func (w *workset) stopJob(job protocol.JobID) {
	holds := false
	for id, c := range w.chunks {
		if id.Job != job {
			continue
		}
		holds = true
		for _, t := range c.tasks {
			if t.state == taskRunning {
				t.stop(errJobEnded)
			}
		}
	}
	if holds {
		w.cancelNoticed[job] = true
	}
}

// CancelNotifier is the background service that notifies other instances of
// cancels that were submitted on this instance.
type CancelNotifier struct {
	peers   coordination.Peers
	timeout time.Duration
	queue   *ring.Ring[protocol.JobID]
}

// NewCancelNotifier returns a CancelNotifier. Its ring is published in expvar under
// name.
func NewCancelNotifier(name string, peers coordination.Peers, timeout time.Duration) *CancelNotifier {
	return &CancelNotifier{peers: peers, timeout: timeout, queue: ring.New[protocol.JobID](name, noticeQueueSize)}
}

// Notify queues a notice for the other instances.
func (n *CancelNotifier) Notify(job protocol.JobID) { n.queue.Offer(job) }

// String returns the name of the service for the supervisor.
func (n *CancelNotifier) String() string { return "batch cancel notices" }

// Serve sends the queued notices until ctx ends.
func (n *CancelNotifier) Serve(ctx context.Context) error {
	for {
		job, err := n.queue.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		request := fanout.Request{Method: methodCancelled, Args: CancelNotice{Job: job}, Timeout: n.timeout, Concurrency: noticeParallelism}
		unreached := fanout.Call(ctx, n.peers, request, func(protocol.InstanceID, CancelNoticeReply) error { return nil })
		counters.Add("cancel_notices_lost", int64(len(unreached)))
	}
}
