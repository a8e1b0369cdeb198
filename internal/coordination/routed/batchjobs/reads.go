package batchjobs

import (
	"context"
	"time"
)

// answer is a reply with a verdict.
type answer interface{ verdict() Verdict }

func (r ResultsReply) verdict() Verdict { return r.Verdict }
func (r BodyReply) verdict() Verdict    { return r.Verdict }

// jobRead is a read of a job whose partition another instance owns.
type jobRead[R answer] struct {
	number int
	// ownerMethod asks the owner for what it knows, with ownerCall and within ownerLimit.
	ownerMethod string
	ownerCall   any
	ownerLimit  time.Duration
	// storeMethod asks any instance for what the store has, with storeCall.
	storeMethod string
	storeCall   any
	// here reads the store at this instance.
	here func(ctx context.Context) R
	// notDone is the reply if the store could not be read.
	notDone R
}

// do asks the owner, else instances that read the store in its place.
func (r *jobRead[R]) do(ctx context.Context, s *JobService) R {
	if reply, ok := r.fromOwner(ctx, s); ok {
		return reply
	}
	return r.fromStandIns(ctx, s)
}

// fromOwner asks the owner. It returns false if no owner is known or reached. The owner's
// answer counts also if it has not loaded the partition yet: a load by a further instance
// would take a part of the store's read rate, and the owner would take longer.
func (r *jobRead[R]) fromOwner(ctx context.Context, s *JobService) (R, bool) {
	var known, current R
	owner, ok := s.opts.Peers.OwnerOf(r.number)
	if !ok {
		return known, false
	}
	if s.callPeer(ctx, owner.Address, r.ownerLimit, r.ownerMethod, r.ownerCall, &known) != nil {
		return known, false
	}
	if known.verdict() != Missing {
		return known, known.verdict() != NotHeld
	}
	// The job may be newer than what the owner has read. This call makes it read the store
	// up to its end.
	err := s.callPeer(ctx, owner.Address, viaPeerTimeout, r.storeMethod, r.storeCall, &current)
	return current, err == nil
}
