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
	// noticeWidth instances are told at the same time.
	noticeWidth = 16
	// noticeCapacity bounds the cancels that wait to be told. One that finds
	// no room is learnt from the log.
	noticeCapacity = 256
)

// Cancelled says that replay has accepted the cancel of a job.
type Cancelled struct{ Job protocol.JobID }

// Heard confirms it.
type Heard struct{}

// Receiver hears of cancels from other instances.
type Receiver struct{ Executor *Executor }

// Cancelled stops the job at this instance.
func (r *Receiver) Cancelled(args Cancelled, _ *Heard) error {
	r.Executor.Stop(args.Job)
	return nil
}

// Stop ends the runs of a job whose cancel this instance has not read yet, and
// starts none any more.
//
// What goes wrong without it: an instance that is cut off from the log goes on
// with the chunks it holds and can't see a cancel. Its targets work on a job
// that its owner has stopped, for as long as the cut lasts.
func (e *Executor) Stop(job protocol.JobID) {
	counters.Add("stopped_by_notice", 1)
	e.update(func(w *workset) { w.stopJob(job) })
}

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
		w.told[job] = true
	}
}

// CancelNotifier is the duty that tells other instances of cancels that were
// accepted here.
type CancelNotifier struct {
	peers   coordination.Peers
	timeout time.Duration
	waiting *ring.Ring[protocol.JobID]
}

// NewCancelNotifier returns the duty. name publishes its ring in expvar.
func NewCancelNotifier(name string, peers coordination.Peers, timeout time.Duration) *CancelNotifier {
	return &CancelNotifier{peers: peers, timeout: timeout, waiting: ring.New[protocol.JobID](name, noticeCapacity)}
}

// Notify queues a notice.
func (n *CancelNotifier) Notify(job protocol.JobID) { n.waiting.Offer(job) }

// String names the duty.
func (n *CancelNotifier) String() string { return "batch cancel notices" }

// Serve tells of cancels until ctx ends.
func (n *CancelNotifier) Serve(ctx context.Context) error {
	for {
		job, err := n.waiting.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		question := fanout.Question{Method: methodCancelled, Args: Cancelled{Job: job}, Timeout: n.timeout, Width: noticeWidth}
		unreached := fanout.Ask(ctx, n.peers, question, func(protocol.InstanceID, Heard) error { return nil })
		counters.Add("cancel_notices_lost", int64(len(unreached)))
	}
}
