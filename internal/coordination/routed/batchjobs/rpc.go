package batchjobs

import (
	"context"

	"merlintiller/internal/state/jobs"
)

// Names of the net/rpc receivers. Calls that wait for results have connections
// of their own, so that a wait that ends by its time holds up no other call.
const (
	ReceiverName = "Jobs"
	WaiterName   = "JobResults"

	methodKnown   = ReceiverName + ".Known"
	methodAccept  = ReceiverName + ".Accept"
	methodBody    = ReceiverName + ".Body"
	methodYield   = ReceiverName + ".Yield"
	methodOrphans = ReceiverName + ".Orphans"

	methodFinish   = ReceiverName + ".Finish"
	methodHandBack = ReceiverName + ".HandBack"
	methodEndFor   = ReceiverName + ".EndFor"
	methodBodyFor  = ReceiverName + ".BodyFor"
	methodReadFor  = WaiterName + ".ResultsFor"
	methodResults  = WaiterName + ".Results"
)

// Receiver answers other instances. It is registered under ReceiverName.
type Receiver struct{ desk *JobService }

// Receiver returns the net/rpc receiver of short calls.
func (d *JobService) Receiver() *Receiver { return &Receiver{desk: d} }

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

// Yield gives a slot back.
func (r *Receiver) Yield(args *YieldCall, reply *JobReply) error {
	reply.Verdict = Missing
	if r.desk.runner.Yield(args.Number) {
		reply.Verdict = Done
	}
	return nil
}

// Finish takes the result of an item that was run for this holder.
func (r *Receiver) Finish(args *FinishCall, reply *JobReply) error {
	reply.Verdict = NotHeld
	if h, ok := r.desk.keeper.holding(r.desk.opts.partitionOf(args.Job).Number); ok {
		h.finish(finished{job: args.Job, result: jobs.Result(args.Result)})
		r.desk.runner.settle(itemID{args.Job, args.Result.Item})
		reply.Verdict = Done
	}
	return nil
}

// HandBack takes the output of an item that is not whole.
func (r *Receiver) HandBack(args *Part, reply *JobReply) error {
	reply.Verdict = NotHeld
	if h, ok := r.desk.keeper.holding(r.desk.opts.partitionOf(args.Job).Number); ok {
		h.takeBack(*args)
		reply.Verdict = Done
	}
	return nil
}

// EndFor ends a job for an instance that does not reach the store.
func (r *Receiver) EndFor(args *JobCall, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	reply.Verdict = r.desk.endHere(ctx, *args)
	return nil
}

// BodyFor gives the body of an item to an instance that does not reach the store.
func (r *Receiver) BodyFor(args *BodyCall, reply *BodyReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	*reply = r.desk.bodyHere(ctx, *args)
	return nil
}

// ResultsFor gives results to an instance that does not reach the store.
func (w *Waiter) ResultsFor(args *ResultsCall, reply *ResultsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	*reply = w.desk.resultsHere(ctx, *args)
	return nil
}

// Waiter answers calls that may wait. It is registered under WaiterName.
type Waiter struct{ desk *JobService }

// Waiter returns the net/rpc receiver of calls that wait.
func (d *JobService) Waiter() *Waiter { return &Waiter{desk: d} }

// Results gives results of a job.
func (w *Waiter) Results(args *ResultsCall, reply *ResultsReply) error {
	reply.Verdict = NotHeld
	if h, ok := w.desk.keeper.holding(w.desk.opts.partitionOf(args.Job).Number); ok {
		*reply = h.results(context.Background(), *args)
	}
	return nil
}
