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
	// askTimeout bounds a question to the holder of a partition. Instances are
	// some milliseconds apart; whoever does not answer is gone around.
	peerCallTimeout = 300 * time.Millisecond
	// freshTimeout bounds the reading of the store before a job is said not to
	// exist.
	storeReadTimeout = 800 * time.Millisecond
	// storeAway is the time without an answer of the store after which another
	// instance is asked to write instead.
	storeUnreachableAfter = 1200 * time.Millisecond
)

// JobService takes the calls of batch jobs at any instance.
type JobService struct {
	opts   *Options
	owner  *PartitionOwner
	runner *Runner

	mu sync.Mutex
	// copies are partitions of others, read from the store when their holders
	// can't be asked.
	replicas map[int]*partitionReplica
}

// NewJobService returns a desk.
func NewJobService(opts *Options, owner *PartitionOwner, runner *Runner) *JobService {
	return &JobService{opts: opts, owner: owner, runner: runner, replicas: map[int]*partitionReplica{}}
}

// known asks the holder whether a job is there already, as after a repeat. The
// answer saves writing the job once more; without one it is written.
func (s *JobService) jobExists(ctx context.Context, job string) bool {
	number := s.opts.partitionOf(job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		return p.lookUp(job) == Done
	}
	var reply JobReply
	if !s.callOwner(ctx, number, methodKnown, &JobCall{Job: job}, &reply) {
		return false
	}
	return reply.Verdict == Done
}

// ask calls the holder of a partition.
func (s *JobService) callOwner(ctx context.Context, number int, method string, args, reply any) bool {
	holder, ok := s.opts.Peers.Holder(number)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return s.opts.Caller.Call(ctx, holder.Address, method, args, reply) == nil
}

// mostElsewhere bounds the instances that are asked in place of the store.
const maxPeersTried = 2

// elsewhere asks instances that the store answers, one after the other, until
// one has done what is asked.
func (s *JobService) tryPeersWithStore(ctx context.Context, ask func(ctx context.Context, address string) bool) {
	asked := 0
	for _, p := range s.opts.Peers.Peers() {
		if p.State != mesh.Up || p.Beat.Leaving || p.Beat.StoreAge >= storeUnreachableAfter {
			continue
		}
		if asked == maxPeersTried || ctx.Err() != nil {
			return
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, viaPeerTimeout)
		done := ask(limited, p.Address)
		cancel()
		if done {
			return
		}
	}
}

// Results gives results of a job: from the holder of its partition, else from the
// store, else through an instance that the store answers.
func (s *JobService) Results(ctx context.Context, call ResultsCall) ResultsReply {
	number := s.opts.partitionOf(call.Job).Number
	if p, ok := s.owner.replicaOf(number); ok {
		if reply := p.results(ctx, call); reply.Verdict == Done {
			return reply
		}
	} else if reply, ok := s.resultsFromOwner(ctx, number, call); ok && reply.Verdict == Done {
		return reply
	}
	call.Wait = 0
	reply := s.resultsFromStore(ctx, call)
	if reply.Verdict == NotDone {
		readViaPeers(ctx, s, methodResultsFor, &call, &reply, func(r *ResultsReply) Verdict { return r.Verdict })
	}
	return reply
}

// throughOthers has instances that the store answers read what could not be read
// here, until one of them has.
func readViaPeers[R any](ctx context.Context, s *JobService, method string, call any, reply *R, verdict func(*R) Verdict) {
	s.tryPeersWithStore(ctx, func(ctx context.Context, address string) bool {
		var theirs R
		if s.opts.Caller.Call(ctx, address, method, call, &theirs) == nil {
			*reply = theirs
		}
		return verdict(reply) != NotDone
	})
}

// resultsHere gives results as the store has them now.
func (s *JobService) resultsFromStore(ctx context.Context, call ResultsCall) ResultsReply {
	p, err := s.upToDate(ctx, s.opts.partitionOf(call.Job).Number)
	if err != nil {
		return ResultsReply{Verdict: NotDone}
	}
	return p.results(ctx, call)
}

func (s *JobService) resultsFromOwner(ctx context.Context, number int, call ResultsCall) (ResultsReply, bool) {
	holder, ok := s.opts.Peers.Holder(number)
	if !ok {
		return ResultsReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, call.Wait+peerCallTimeout)
	defer cancel()
	var reply ResultsReply
	err := s.opts.Caller.Call(ctx, holder.Address, methodResults, &call, &reply)
	return reply, err == nil
}

// Body gives the body of an item that is not listed yet.
func (s *JobService) Body(ctx context.Context, call BodyCall) BodyReply {
	number := s.opts.partitionOf(call.Job).Number
	var reply BodyReply
	if p, ok := s.owner.replicaOf(number); ok {
		reply = p.body(call)
	} else if !s.callOwner(ctx, number, methodBody, &call, &reply) {
		reply.Verdict = NotHeld
	}
	if reply.Verdict == Done {
		return reply
	}
	reply = s.bodyFromStore(ctx, call)
	if reply.Verdict == NotDone {
		readViaPeers(ctx, s, methodBodyFor, &call, &reply, func(r *BodyReply) Verdict { return r.Verdict })
	}
	return reply
}

// bodyHere gives an item's body as the store has it now.
func (s *JobService) bodyFromStore(ctx context.Context, call BodyCall) BodyReply {
	p, err := s.upToDate(ctx, s.opts.partitionOf(call.Job).Number)
	if err != nil {
		return BodyReply{Verdict: NotDone}
	}
	return p.body(call)
}

// End ends a job, here or through an instance that the store answers.
func (s *JobService) Cancel(ctx context.Context, call JobCall) Verdict {
	verdict := NotDone
	if s.opts.StoreAge() < storeUnreachableAfter {
		verdict = s.cancelInStore(ctx, call)
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

// endHere writes the mark that ends a job. The mark is written once: a repeat
// finds it.
func (s *JobService) cancelInStore(ctx context.Context, call JobCall) Verdict {
	p, err := s.upToDate(ctx, s.opts.partitionOf(call.Job).Number)
	if err != nil {
		return NotDone
	}
	found, _ := p.job(call.Job)
	switch {
	case !found.known || found.organisation != call.Organisation:
		return p.notFound(found, call.Job, call.Organisation)
	case found.cancelled:
		return Done
	}
	return s.appendRecords(ctx, s.opts.partitionOf(call.Job), []external.KeyedRecord{jobs.EncodeCancellation(call.Job)})
}

// fresh gives a partition as the store has it now. Nobody may say that a job
// does not exist by what it knew before.
func (s *JobService) upToDate(ctx context.Context, number int) (*partitionReplica, error) {
	p, held := s.owner.replicaOf(number)
	if !held {
		p = s.replica(number)
	}
	return p, p.catchUp(ctx, storeReadTimeout)
}

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

// Yield gives the slot of a batch item back that a broker gave to an instance. It
// says whether the instance was reached.
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
