package batchjobs

import (
	"context"

	"merlintiller/internal/state/jobs"
)

// Names of the net/rpc receivers. Calls that wait for results use connections of
// their own, so that a call that waits until its timeout does not delay others.
const (
	ReceiverName = "Jobs"
	WaiterName   = "JobResults"

	methodKnown   = ReceiverName + ".Known"
	methodAccept  = ReceiverName + ".Accept"
	methodBody    = ReceiverName + ".Body"
	methodYield   = ReceiverName + ".Yield"
	methodOrphans = ReceiverName + ".Orphans"

	methodFinish     = ReceiverName + ".Finish"
	methodHandBack   = ReceiverName + ".HandBack"
	methodCancelFor  = ReceiverName + ".EndFor"
	methodBodyFor    = ReceiverName + ".BodyFor"
	methodResultsFor = WaiterName + ".ResultsFor"
	methodResults    = WaiterName + ".Results"
)

// Receiver serves calls of other instances. It is registered under ReceiverName.
type Receiver struct{ service *JobService }

// Receiver returns the net/rpc receiver of short calls.
func (s *JobService) Receiver() *Receiver { return &Receiver{service: s} }

// Known says whether a job of an organisation exists. An earlier release names no
// organisation, and takes any verdict but Done for a job that does not exist.
func (r *Receiver) Known(args *JobCall, reply *JobReply) error {
	reply.Verdict = NotHeld
	if p, ok := r.service.owner.replicaOf(r.service.opts.partitionOf(args.Job).Number); ok {
		reply.Verdict = p.lookUp(args.Job, args.Organisation)
		if reply.Verdict == Taken && args.Organisation == "" {
			reply.Verdict = Done
		}
	}
	return nil
}

// Accept writes a job for an instance that does not reach the store.
func (r *Receiver) Accept(args *AcceptCall, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), viaPeerTimeout)
	defer cancel()
	reply.Verdict = r.service.writeJob(ctx, &args.Job)
	return nil
}

// Body returns the body of an item.
func (r *Receiver) Body(args *BodyCall, reply *BodyReply) error {
	reply.Verdict = NotHeld
	if r.service.leavesToFallback(args.Job) {
		reply.NotLoaded = true
		return nil
	}
	if p, ok := r.service.owner.replicaOf(r.service.opts.partitionOf(args.Job).Number); ok {
		*reply = p.body(*args)
	}
	return nil
}

// Yield gives back a slot.
func (r *Receiver) Yield(args *YieldCall, reply *JobReply) error {
	reply.Verdict = Missing
	if r.service.runner.Yield(args.Number) {
		reply.Verdict = Done
	}
	return nil
}

// Finish accepts the result of an item that another instance ran.
func (r *Receiver) Finish(args *FinishCall, reply *JobReply) error {
	reply.Verdict = NotHeld
	if p, ok := r.service.owner.replicaOf(r.service.opts.partitionOf(args.Job).Number); ok {
		p.addResult(finishedItem{job: args.Job, result: jobs.Result(args.Result)})
		r.service.runner.discardTask(itemID{args.Job, args.Result.Item})
		reply.Verdict = Done
	}
	return nil
}

// HandBack accepts the incomplete output of an item.
func (r *Receiver) HandBack(args *PartialOutput, reply *JobReply) error {
	reply.Verdict = NotHeld
	if p, ok := r.service.owner.replicaOf(r.service.opts.partitionOf(args.Job).Number); ok {
		p.addPartialOutput(*args)
		reply.Verdict = Done
	}
	return nil
}

// EndFor cancels a job for an instance that does not reach the store.
func (r *Receiver) EndFor(args *JobCall, reply *JobReply) error {
	if r.service.leavesToFallback(args.Job) {
		reply.Verdict = NotHeld
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), viaPeerTimeout)
	defer cancel()
	reply.Verdict = r.service.cancelInStore(ctx, *args, readCause{why: forPeer})
	return nil
}

// BodyFor returns the body of an item to an instance that does not reach the store.
func (r *Receiver) BodyFor(args *BodyCall, reply *BodyReply) error {
	if r.service.leavesToFallback(args.Job) {
		reply.Verdict, reply.NotLoaded = NotHeld, true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), viaPeerTimeout)
	defer cancel()
	*reply = r.service.bodyFromStore(ctx, *args, readCause{why: forPeer})
	return nil
}

// ResultsFor returns results to an instance that does not reach the store.
func (w *Waiter) ResultsFor(args *ResultsCall, reply *ResultsReply) error {
	if w.service.leavesToFallback(args.Job) {
		reply.Verdict, reply.NotLoaded = NotHeld, true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), viaPeerTimeout)
	defer cancel()
	*reply = w.service.resultsFromStore(ctx, *args, readCause{why: forPeer})
	return nil
}

// Waiter serves calls that may wait. It is registered under WaiterName.
type Waiter struct{ service *JobService }

// Waiter returns the net/rpc receiver of calls that wait.
func (s *JobService) Waiter() *Waiter { return &Waiter{service: s} }

// Results returns results of a job.
func (w *Waiter) Results(args *ResultsCall, reply *ResultsReply) error {
	reply.Verdict = NotHeld
	if w.service.leavesToFallback(args.Job) {
		reply.NotLoaded = true
		return nil
	}
	if p, ok := w.service.owner.replicaOf(w.service.opts.partitionOf(args.Job).Number); ok {
		*reply = p.results(context.Background(), *args)
	}
	return nil
}
