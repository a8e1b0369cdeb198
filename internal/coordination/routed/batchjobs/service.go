package batchjobs

import (
	"context"
	"fmt"
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
	// storeReadTimeout bounds the wait for the read of the store that precedes the
	// answer that a job does not exist.
	storeReadTimeout = 800 * time.Millisecond
	// storeUnreachableAfter is the time without an answer from the store after
	// which the instance writes through another instance instead.
	storeUnreachableAfter = 1200 * time.Millisecond
)

// errNotLoaded: the owner of a partition has not loaded it yet.
var errNotLoaded = fmt.Errorf("%w: partition not loaded", external.ErrUnavailable)

// JobService serves the calls on batch jobs. Every instance has one.
type JobService struct {
	opts   *Options
	owner  *PartitionOwner
	runner *Runner
	// startedAt is when the service was created.
	startedAt time.Time

	mu sync.Mutex
	// replicas holds, by number, partitions that other instances own. They are
	// read from the store while this instance is a fallback reader for their owners.
	replicas map[int]*partitionReplica
}

// NewJobService returns a service that answers from the partitions of owner, the
// store and other instances.
func NewJobService(opts *Options, owner *PartitionOwner, runner *Runner) *JobService {
	return &JobService{opts: opts, owner: owner, runner: runner, startedAt: time.Now(), replicas: map[int]*partitionReplica{}}
}

// Exists asks the owner whether a job of an organisation exists. It returns false if the owner
// does not answer or has not read the job yet. It does not read the store.
func (s *JobService) Exists(ctx context.Context, job, organisation string) bool {
	return s.lookUp(ctx, job, organisation) == Done
}

// lookUp asks the owner whether a job of an organisation exists. The verdict is NotHeld if the
// owner does not answer.
func (s *JobService) lookUp(ctx context.Context, job, organisation string) Verdict {
	number := s.opts.partitionOf(job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		return p.lookUp(job, organisation)
	}
	var reply JobReply
	if !s.callOwner(ctx, number, methodKnown, &JobCall{Job: job, Organisation: organisation}, &reply) {
		return NotHeld
	}
	return reply.Verdict
}

// callOwner calls the owner of a partition. It returns false if no owner is known
// or the call failed.
func (s *JobService) callOwner(ctx context.Context, number int, method string, args, reply any) bool {
	owner, ok := s.opts.Peers.OwnerOf(number)
	if !ok {
		return false
	}
	return s.callPeer(ctx, owner.Address, peerCallTimeout, method, args, reply) == nil
}

// callPeer calls another instance within a time limit.
func (s *JobService) callPeer(ctx context.Context, address string, limit time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.opts.Caller.Call(ctx, address, method, args, reply)
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

// Results returns results of a job: from the owner of its partition, and from the store if
// the owner can't be reached.
func (s *JobService) Results(ctx context.Context, call ResultsCall) ResultsReply {
	number := s.opts.partitionOf(call.Job).Number
	now := call
	now.Wait = 0
	if p, ok := s.owner.replicaOf(number); ok {
		if reply := p.results(ctx, call); reply.Verdict == Done {
			return reply
		}
		if !p.leavesToFallback(call.Job) {
			return s.resultsFromStore(ctx, now, s.ownCause(p))
		}
	}
	read := &jobRead[ResultsReply]{
		call: callResults, job: call.Job,
		number: number, ownerMethod: methodResults, ownerCall: &call, ownerLimit: call.Wait + peerCallTimeout,
		storeMethod: methodResultsFor, storeCall: &now,
		here: func(ctx context.Context, cause readCause) ResultsReply {
			return s.resultsFromStore(ctx, now, cause)
		},
		notDone: ResultsReply{Verdict: NotDone},
	}
	return read.do(ctx, s)
}

// resultsFromStore returns results from the current content of the store.
func (s *JobService) resultsFromStore(ctx context.Context, call ResultsCall, cause readCause) ResultsReply {
	read := &storeRead{call: callResults, job: call.Job, cause: cause}
	p, err := s.upToDate(ctx, read, call.Organisation)
	reply := ResultsReply{Verdict: NotDone}
	if err == nil {
		reply = p.results(ctx, call)
	}
	s.logStoreRead(read, p, reply.Verdict, err)
	return reply
}

// Body returns the body of an item that has no published result yet.
func (s *JobService) Body(ctx context.Context, call BodyCall) BodyReply {
	number := s.opts.partitionOf(call.Job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		if !p.leavesToFallback(call.Job) {
			return s.bodyFromStore(ctx, call, s.ownCause(p))
		}
	}
	read := &jobRead[BodyReply]{
		call: callBody, job: call.Job,
		number: number, ownerMethod: methodBody, ownerCall: &call, ownerLimit: peerCallTimeout,
		storeMethod: methodBodyFor, storeCall: &call,
		here: func(ctx context.Context, cause readCause) BodyReply {
			return s.bodyFromStore(ctx, call, cause)
		},
		notDone: BodyReply{Verdict: NotDone},
	}
	return read.do(ctx, s)
}

// bodyFromStore returns an item's body from the current content of the store.
func (s *JobService) bodyFromStore(ctx context.Context, call BodyCall, cause readCause) BodyReply {
	read := &storeRead{call: callBody, job: call.Job, cause: cause}
	p, err := s.upToDate(ctx, read, call.Organisation)
	reply := BodyReply{Verdict: NotDone}
	if err == nil {
		reply = p.body(call)
	}
	s.logStoreRead(read, p, reply.Verdict, err)
	return reply
}

// Cancel cancels a job: through the owner of its partition, else through instances that
// read the store in its place.
func (s *JobService) Cancel(ctx context.Context, call JobCall) Verdict {
	verdict, decided := s.cancelAtOwner(ctx, call)
	if !decided {
		verdict = s.cancelAtFallback(ctx, call, verdict)
	}
	_ = level.Info(s.opts.Logger).Log("event", "job_ended", "job", call.Job, "outcome", verdict)
	return verdict
}

// cancelAtOwner cancels a job at the owner of its partition. It returns false if the
// attempt is to be repeated in another way.
//
// The owner has the partition in memory. An instance that doesn't own it would have to
// load it first.
func (s *JobService) cancelAtOwner(ctx context.Context, call JobCall) (verdict Verdict, decided bool) {
	number := s.opts.partitionOf(call.Job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		return s.cancelAsOwner(ctx, p, call)
	}
	owner, ok := s.opts.Peers.OwnerOf(number)
	if !ok {
		return NotDone, false
	}
	var reply JobReply
	if s.callPeer(ctx, owner.Address, viaPeerTimeout, methodCancelFor, &call, &reply) != nil {
		return Unsure, false
	}
	if reply.Verdict == NotHeld {
		return NotDone, false
	}
	return reply.Verdict, reply.Verdict != Unsure
}

// cancelAsOwner is cancelAtOwner for a partition that this instance owns.
func (s *JobService) cancelAsOwner(ctx context.Context, p *partitionReplica, call JobCall) (verdict Verdict, decided bool) {
	if p.leavesToFallback(call.Job) {
		return NotDone, false
	}
	if !p.isLoaded() {
		s.logNotDone(callCancel, call.Job, s.ownCause(p))
		return NotDone, true
	}
	if s.opts.StoreAge() >= storeUnreachableAfter {
		return NotDone, false
	}
	verdict = s.cancelInStore(ctx, call, readCause{why: isCancellation, owner: s.opts.Member})
	return verdict, verdict.isFinal()
}

// cancelInStore appends the record that cancels a job, unless an earlier call has
// done so.
func (s *JobService) cancelInStore(ctx context.Context, call JobCall, cause readCause) Verdict {
	read := &storeRead{call: callCancel, job: call.Job, cause: cause}
	p, err := s.upToDate(ctx, read, call.Organisation)
	verdict := NotDone
	if err == nil {
		verdict = s.cancelIn(ctx, p, call)
	}
	s.logStoreRead(read, p, verdict, err)
	return verdict
}

// cancelIn is cancelInStore for a partition that is up to date.
func (s *JobService) cancelIn(ctx context.Context, p *partitionReplica, call JobCall) Verdict {
	found, _ := p.job(call.Job)
	switch {
	case !found.belongsTo(call.Organisation, call.Host):
		return p.notFound(found, call.Job, call.Organisation)
	case found.cancelled:
		return Done
	}
	return s.appendRecords(ctx, s.opts.partitionOf(call.Job), []external.KeyedRecord{jobs.EncodeCancellation(call.Job)})
}

// upToDate returns the partition of a job, in a state that is sufficient for answers on
// it. Only an owner answers from what it has, and only on a job that it has. An instance
// must read all that the store has before it reports that a job does not exist: its own
// state may be older than the job.
//
// That also holds for an owner whose partition was reassigned without its knowledge.
func (s *JobService) upToDate(ctx context.Context, read *storeRead, organisation string) (*partitionReplica, error) {
	number := s.opts.partitionOf(read.job).Number
	p, owned := s.owner.replicaOf(number)
	if !owned {
		p = s.replica(number)
		return p, read.catchUp(ctx, p)
	}
	switch found, _ := p.job(read.job); {
	case !found.loaded:
		// The owner's own reader loads the partition.
		return p, errNotLoaded
	case found.known && found.organisation == organisation:
		return p, nil
	}
	return p, read.catchUp(ctx, p)
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
