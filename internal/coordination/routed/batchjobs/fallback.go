package batchjobs

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
)

const (
	// maxFallbackReaders bounds the instances that load a partition in place of its owner.
	maxFallbackReaders = 2
	// fallbackReadTimeout bounds a read through a fallback reader: its read of the store, and the
	// call. A caller's time suffices for the owner and two fallback readers that don't answer.
	fallbackReadTimeout = storeReadTimeout + 100*time.Millisecond
	// discoveryTime is how long after its start an instance may know a part of the others
	// only.
	discoveryTime = 2 * time.Second
)

// fallbackCandidates returns the instances that may read a partition in place of its owner,
// the preferred one first. This instance may be one of them. The first maxFallbackReaders that are
// reached do so.
//
// All instances that know the same others return the same order. If each of them loaded the
// partition itself, the number of loads would grow with the fleet. After a restart of all
// instances, when each knows other ones, there are no fallback readers for some time. Then the
// partitions are assigned anew, and the store's read rate is needed for the owners' loads.
func (s *JobService) fallbackCandidates(number int) []mesh.Instance {
	var candidates []mesh.Instance
	for _, p := range s.opts.Peers.Peers() {
		h := &p.Heartbeat
		if p.State == mesh.Up && !h.Leaving && !h.Young && h.StoreAge < storeUnreachableAfter {
			candidates = append(candidates, p.Instance)
		}
	}
	if s.canBeFallback(number) {
		candidates = append(candidates, s.opts.Peers.Self())
	}
	role := fmt.Sprint("jobs/", number)
	slices.SortFunc(candidates, func(a, b mesh.Instance) int {
		return cmp.Compare(mesh.Rank(role, a), mesh.Rank(role, b))
	})
	return candidates
}

// canBeFallback says whether this instance may load a partition in place of its owner.
func (s *JobService) canBeFallback(number int) bool {
	if _, owned := s.owner.replicaOf(number); owned {
		return false
	}
	return time.Since(s.startedAt) >= discoveryTime && s.opts.StoreAge() < storeUnreachableAfter
}

// fromFallback reads through candidates until one of them succeeds, maxFallbackReaders of them were
// reached, or the caller's time is up. An instance whose candidates are not reached does not
// load the partition itself before its turn: many instances may not reach the same ones.
func (r *jobRead[R]) fromFallback(ctx context.Context, s *JobService, cause readCause) R {
	reply, reached := r.notDone, 0
	for _, candidate := range s.fallbackCandidates(r.number) {
		if reached == maxFallbackReaders || ctx.Err() != nil {
			break
		}
		answer, err := r.at(ctx, s, candidate, cause)
		if err != nil || answer.verdict() == NotHeld {
			continue
		}
		reached++
		reply = answer
		if reply.verdict().isFinal() {
			break
		}
	}
	return reply
}

// at reads the store at an instance, which may be this one.
func (r *jobRead[R]) at(ctx context.Context, s *JobService, i mesh.Instance, cause readCause) (R, error) {
	if i.Name == s.opts.Member {
		return r.here(ctx, cause), nil
	}
	var reply R
	err := s.callPeer(ctx, i.Address, fallbackReadTimeout, r.storeMethod, r.storeCall, &reply)
	return reply, err
}

// cancelAtFallback cancels a job through candidates, as fromFallback reads, after an attempt
// with another verdict.
func (s *JobService) cancelAtFallback(ctx context.Context, call JobCall, verdict Verdict) Verdict {
	reached := 0
	for _, candidate := range s.fallbackCandidates(s.opts.partitionOf(call.Job).Number) {
		if reached == maxFallbackReaders || verdict.isFinal() || ctx.Err() != nil {
			break
		}
		next, err := s.cancelAt(ctx, candidate, call)
		if err == nil && next == NotHeld {
			continue
		}
		if err == nil {
			reached++
		}
		verdict = verdict.then(next)
	}
	return verdict
}

// cancelAt cancels a job at an instance, which may be this one. The call may have taken
// effect if it fails.
func (s *JobService) cancelAt(ctx context.Context, i mesh.Instance, call JobCall) (Verdict, error) {
	if i.Name == s.opts.Member {
		return s.cancelInStore(ctx, call, readCause{why: isCancellation}), nil
	}
	var reply JobReply
	if err := s.callPeer(ctx, i.Address, viaPeerTimeout, methodCancelFor, &call, &reply); err != nil {
		return Unsure, err
	}
	return reply.Verdict, nil
}
