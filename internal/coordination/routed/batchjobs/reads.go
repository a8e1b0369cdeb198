package batchjobs

import (
	"context"
	"time"
)

// answer is a reply with a verdict.
type answer interface {
	verdict() Verdict
	// notLoaded says, of a reply with NotHeld, that the instance owns the partition.
	notLoaded() bool
}

func (r ResultsReply) verdict() Verdict { return r.Verdict }
func (r BodyReply) verdict() Verdict    { return r.Verdict }
func (r ResultsReply) notLoaded() bool  { return r.NotLoaded }
func (r BodyReply) notLoaded() bool     { return r.NotLoaded }

// jobRead is a read of a job whose partition another instance owns, or this one, which does
// not read it.
type jobRead[R answer] struct {
	number int
	// call and job name the read in logs.
	call, job string
	// ownerMethod asks the owner for what it knows, with ownerCall and within ownerLimit.
	ownerMethod string
	ownerCall   any
	ownerLimit  time.Duration
	// storeMethod asks any instance for what the store has, with storeCall.
	storeMethod string
	storeCall   any
	// here reads the store at this instance.
	here func(ctx context.Context, cause readCause) R
	// notDone is the reply if the store could not be read.
	notDone R
}

// do asks the owner, else instances that read the store in its place.
func (r *jobRead[R]) do(ctx context.Context, s *JobService) R {
	reply, cause, answered := r.fromOwner(ctx, s)
	if !answered {
		reply = r.fromFallback(ctx, s, cause)
	}
	if !reply.verdict().isFinal() {
		s.logNotDone(r.call, r.job, cause)
	}
	return reply
}

// fromOwner asks the owner. It returns false if no owner is known or reached, or if the
// owner has not read the partition for ownerReadLimit. Until then the owner's answer counts
// also if it has not loaded the partition yet: a load by a further instance would take a
// part of the store's read rate, and the owner would take longer. cause says why the owner
// did not find the job.
func (r *jobRead[R]) fromOwner(ctx context.Context, s *JobService) (reply R, cause readCause, answered bool) {
	if p, owned := s.owner.replicaOf(r.number); owned {
		return reply, s.ownCause(p), false
	}
	owner, ok := s.opts.Peers.OwnerOf(r.number)
	if !ok {
		return reply, readCause{why: noOwnerKnown}, false
	}
	cause.owner = owner.Name
	cause.ownerErr = s.callPeer(ctx, owner.Address, r.ownerLimit, r.ownerMethod, r.ownerCall, &reply)
	if cause.ownerErr != nil {
		cause.why = ownerNotReached
		return reply, cause, false
	}
	switch reply.verdict() {
	case Missing:
		cause.why = ownerMissing
	case NotHeld:
		cause.why = whyNotHeld(reply)
		return reply, cause, false
	default:
		cause.why = ownerNotLoaded
		return reply, cause, true
	}
	// The job may be newer than what the owner has read. This call makes it read the store
	// up to its end.
	var current R
	cause.ownerErr = s.callPeer(ctx, owner.Address, viaPeerTimeout, r.storeMethod, r.storeCall, &current)
	if cause.ownerErr != nil {
		return current, cause, false
	}
	if current.verdict() == NotHeld {
		cause.why = whyNotHeld(current)
		return current, cause, false
	}
	return current, cause, true
}

// whyNotHeld says why a reply is NotHeld.
func whyNotHeld(reply answer) readReason {
	if reply.notLoaded() {
		return ownerNotLoaded
	}
	return notHeld
}
