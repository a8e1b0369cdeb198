package batchjobs

import "context"

// Names of the net/rpc receivers. Calls that wait for results have connections
// of their own, so that a wait that ends by its time holds up no other call.
const (
	ReceiverName = "Jobs"
	WaiterName   = "JobResults"

	methodKnown   = ReceiverName + ".Known"
	methodAccept  = ReceiverName + ".Accept"
	methodBody    = ReceiverName + ".Body"
	methodYield   = ReceiverName + ".Yield"
	methodResults = WaiterName + ".Results"
)

// Receiver answers other instances. It is registered under ReceiverName.
type Receiver struct{ desk *Desk }

// Receiver returns the net/rpc receiver of short calls.
func (d *Desk) Receiver() *Receiver { return &Receiver{desk: d} }

// Known says whether a job is there.
func (r *Receiver) Known(args *JobCall, reply *JobReply) error {
	reply.Verdict = NotHeld
	if h, ok := r.desk.keeper.holding(r.desk.opts.partitionOf(args.Job).Number); ok {
		reply.Verdict = h.known(args.Job)
	}
	return nil
}

// Accept writes a job for an instance that does not reach the store.
func (r *Receiver) Accept(args *AcceptCall, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	reply.Verdict = r.desk.write(ctx, &args.Job)
	return nil
}

// Body gives the body of an item.
func (r *Receiver) Body(args *BodyCall, reply *BodyReply) error {
	reply.Verdict = NotHeld
	if h, ok := r.desk.keeper.holding(r.desk.opts.partitionOf(args.Job).Number); ok {
		*reply = h.body(*args)
	}
	return nil
}

// Yield frees a slot at a target.
func (r *Receiver) Yield(args *YieldCall, reply *JobReply) error {
	reply.Verdict = Missing
	if r.desk.runner.Yield(args.Target) {
		reply.Verdict = Done
	}
	return nil
}

// Waiter answers calls that may wait. It is registered under WaiterName.
type Waiter struct{ desk *Desk }

// Waiter returns the net/rpc receiver of calls that wait.
func (d *Desk) Waiter() *Waiter { return &Waiter{desk: d} }

// Results gives results of a job.
func (w *Waiter) Results(args *ResultsCall, reply *ResultsReply) error {
	reply.Verdict = NotHeld
	if h, ok := w.desk.keeper.holding(w.desk.opts.partitionOf(args.Job).Number); ok {
		*reply = h.results(context.Background(), *args)
	}
	return nil
}
