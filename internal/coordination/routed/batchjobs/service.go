package batchjobs

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/external"
	"merlintiller/internal/state/jobs"
)

const (
	// peerCallTimeout bounds a call to another instance. The network between
	// instances takes some milliseconds; an instance that does not answer in time
	// is bypassed.
	peerCallTimeout = 300 * time.Millisecond
	// storeReadTimeout bounds the read of the store that precedes the answer that
	// a job does not exist.
	storeReadTimeout = 800 * time.Millisecond
	// storeUnreachableAfter is the time without an answer from the store after
	// which the instance writes through another instance instead.
	storeUnreachableAfter = 1200 * time.Millisecond
)

// JobService serves the calls on batch jobs. Every instance has one.
type JobService struct {
	opts   *Options
	owner  *PartitionOwner
	runner *Runner

	mu sync.Mutex
	// replicas holds, by number, partitions that other instances own. They are
	// read from the store when their owners can't be reached.
	replicas map[int]*partitionReplica
}

// NewJobService returns a service that answers from the partitions of owner, the
// store and other instances.
func NewJobService(opts *Options, owner *PartitionOwner, runner *Runner) *JobService {
	return &JobService{opts: opts, owner: owner, runner: runner, replicas: map[int]*partitionReplica{}}
}

// jobExists asks the owner whether a job exists already, as after a repeated
// submission. A positive answer saves writing the job again; without an answer
// it is written.
func (s *JobService) jobExists(ctx context.Context, job string) bool {
	number := s.opts.partitionOf(job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		return p.lookUp(job) == Done
	}
	var reply JobReply
	from := s.callOwner(ctx, number, methodKnown, &JobCall{Job: job}, &reply)
	return from.answered() && reply.Verdict == Done
}

// callOwner calls the owner of a partition, and says whether it answered.
func (s *JobService) callOwner(ctx context.Context, number int, method string, args, reply any) ownerReply {
	owner, ok := s.opts.Peers.OwnerOf(number)
	if !ok {
		return ownerReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := s.opts.Caller.Call(ctx, owner.Address, method, args, reply)
	return ownerReply{known: true, owner: owner.Name, err: err}
}

// maxPeersTried bounds the instances that one call tries in place of the store.
const maxPeersTried = 2

// tryPeersWithStore calls instances that reach the store, one after the other,
// until call returns true for one of them.
func (s *JobService) tryPeersWithStore(ctx context.Context, call func(ctx context.Context, address string) bool) {
	tried := 0
	for _, p := range s.opts.Peers.Peers() {
		if p.State != mesh.Up || p.Heartbeat.Leaving || p.Heartbeat.StoreAge >= storeUnreachableAfter {
			continue
		}
		if tried == maxPeersTried || ctx.Err() != nil {
			return
		}
		tried++
		limited, cancel := context.WithTimeout(ctx, viaPeerTimeout)
		done := call(limited, p.Address)
		cancel()
		if done {
			return
		}
	}
}

// Results returns results of a job: from the owner of its partition, else from the
// store, else through an instance that reaches the store.
func (s *JobService) Results(ctx context.Context, call ResultsCall) ResultsReply {
	reply, fromOwner := s.resultsFromOwner(ctx, call)
	if reply.Verdict == Done && fromOwner.answered() {
		return reply
	}
	call.Wait = 0
	reply = s.resultsFromStore(ctx, call, fromOwner.cause())
	if reply.Verdict == NotDone {
		readViaPeers(ctx, s, methodResultsFor, &call, &reply, func(r *ResultsReply) Verdict { return r.Verdict })
	}
	return reply
}

// readViaPeers makes a read that failed here through instances that reach the
// store, until one of them succeeds.
func readViaPeers[R any](ctx context.Context, s *JobService, method string, call any, reply *R, verdict func(*R) Verdict) {
	s.tryPeersWithStore(ctx, func(ctx context.Context, address string) bool {
		var peerReply R
		if s.opts.Caller.Call(ctx, address, method, call, &peerReply) == nil {
			*reply = peerReply
		}
		return verdict(reply) != NotDone
	})
}

// resultsFromStore returns results from the current content of the store.
func (s *JobService) resultsFromStore(ctx context.Context, call ResultsCall, cause readCause) ResultsReply {
	read := &storeRead{call: "results", job: call.Job, cause: cause}
	p, err := s.catchUpFor(ctx, read)
	reply := ResultsReply{Verdict: NotDone}
	if err == nil {
		reply = p.results(ctx, call)
	}
	s.logStoreRead(read, p, reply.Verdict, err)
	return reply
}

// resultsFromOwner asks the owner of a partition, which may be this instance, for results.
func (s *JobService) resultsFromOwner(ctx context.Context, call ResultsCall) (reply ResultsReply, from ownerReply) {
	number := s.opts.partitionOf(call.Job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		reply = p.results(ctx, call)
		return reply, ownerReply{known: true, owner: s.opts.Member, verdict: reply.Verdict}
	}
	owner, ok := s.opts.Peers.OwnerOf(number)
	if !ok {
		return reply, ownerReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, call.Wait+peerCallTimeout)
	defer cancel()
	err := s.opts.Caller.Call(ctx, owner.Address, methodResults, &call, &reply)
	return reply, ownerReply{known: true, owner: owner.Name, verdict: reply.Verdict, err: err}
}

// Body returns the body of an item that has no published result yet.
func (s *JobService) Body(ctx context.Context, call BodyCall) BodyReply {
	reply, fromOwner := s.bodyFromOwner(ctx, call)
	if reply.Verdict == Done && fromOwner.answered() {
		return reply
	}
	reply = s.bodyFromStore(ctx, call, fromOwner.cause())
	if reply.Verdict == NotDone {
		readViaPeers(ctx, s, methodBodyFor, &call, &reply, func(r *BodyReply) Verdict { return r.Verdict })
	}
	return reply
}

// bodyFromOwner asks the owner of a partition, which may be this instance, for an item's
// body.
func (s *JobService) bodyFromOwner(ctx context.Context, call BodyCall) (reply BodyReply, from ownerReply) {
	number := s.opts.partitionOf(call.Job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		reply = p.body(call)
		return reply, ownerReply{known: true, owner: s.opts.Member, verdict: reply.Verdict}
	}
	from = s.callOwner(ctx, number, methodBody, &call, &reply)
	from.verdict = reply.Verdict
	return reply, from
}

// bodyFromStore returns an item's body from the current content of the store.
func (s *JobService) bodyFromStore(ctx context.Context, call BodyCall, cause readCause) BodyReply {
	read := &storeRead{call: "body", job: call.Job, cause: cause}
	p, err := s.catchUpFor(ctx, read)
	reply := BodyReply{Verdict: NotDone}
	if err == nil {
		reply = p.body(call)
	}
	s.logStoreRead(read, p, reply.Verdict, err)
	return reply
}

// Cancel cancels a job, here or through an instance that reaches the store.
func (s *JobService) Cancel(ctx context.Context, call JobCall) Verdict {
	verdict := NotDone
	if s.opts.StoreAge() < storeUnreachableAfter {
		verdict = s.cancelInStore(ctx, call, readCause{why: isCancellation})
	}
	if verdict == NotDone || verdict == Unsure {
		s.tryPeersWithStore(ctx, func(ctx context.Context, address string) bool {
			var reply JobReply
			if err := s.opts.Caller.Call(ctx, address, methodCancelFor, &call, &reply); err != nil {
				verdict = Unsure
				return false
			}
			if reply.Verdict == Done || reply.Verdict == Missing {
				verdict = reply.Verdict
				return true
			}
			return false
		})
	}
	_ = level.Info(s.opts.Logger).Log("event", "job_ended", "job", call.Job, "outcome", verdict)
	return verdict
}

// cancelInStore appends the record that cancels a job, unless an earlier call has
// done so.
func (s *JobService) cancelInStore(ctx context.Context, call JobCall, cause readCause) Verdict {
	read := &storeRead{call: "cancel", job: call.Job, cause: cause}
	p, err := s.catchUpFor(ctx, read)
	verdict := NotDone
	if err == nil {
		verdict = s.cancelIn(ctx, p, call)
	}
	s.logStoreRead(read, p, verdict, err)
	return verdict
}

// cancelIn is cancelInStore for a partition that was read to its end.
func (s *JobService) cancelIn(ctx context.Context, p *partitionReplica, call JobCall) Verdict {
	found, _ := p.job(call.Job)
	switch {
	case !found.known || found.organisation != call.Organisation:
		return p.notFound(found, call.Job, call.Organisation)
	case found.cancelled:
		return Done
	}
	return s.appendRecords(ctx, s.opts.partitionOf(call.Job), []external.KeyedRecord{jobs.EncodeCancellation(call.Job)})
}

// replicaFor returns the replica of a partition that a call is answered from. It must be
// read to its end before the instance reports that a job does not exist: its state may be
// older than the job.
func (s *JobService) replicaFor(number int) *partitionReplica {
	if p, owned := s.owner.replicaOf(number); owned {
		return p
	}
	return s.replica(number)
}

// replica returns the replica of a partition that another instance owns.
func (s *JobService) replica(number int) *partitionReplica {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.replicas[number]
	if p == nil {
		p = newPartitionReplica(s.opts, external.Partition{Topic: s.opts.Topic, Number: number}, nil)
		s.replicas[number] = p
	}
	return p
}

// Yield makes an instance give back the slot of a batch item, which a broker granted
// under a number. It returns false if the instance was not reached.
func (s *JobService) Yield(instance string, number uint64) bool {
	for _, p := range s.opts.Peers.Peers() {
		if p.Name != instance {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		var reply JobReply
		if err := s.opts.Caller.Call(ctx, p.Address, methodYield, &YieldCall{Number: number}, &reply); err != nil {
			_ = level.Info(s.opts.Logger).Log("event", "yield_failed", "peer", instance, "err", err)
			return false
		}
		return true
	}
	s.runner.Yield(number)
	return true
}
