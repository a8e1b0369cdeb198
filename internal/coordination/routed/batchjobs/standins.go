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
	// maxStandIns bounds the instances that load a partition in place of its owner.
	maxStandIns = 2
	// standInReadTimeout bounds a read through a stand-in: its read of the store, and the
	// call. A caller's time suffices for the owner and two stand-ins that don't answer.
	standInReadTimeout = storeReadTimeout + 100*time.Millisecond
	// discoveryTime is how long after its start an instance may know a part of the others
	// only.
	discoveryTime = 2 * time.Second
)

// standIns returns the instances that read a partition in place of an owner that is not
// reached, the preferred one first. This instance may be one of them.
//
// All instances that know the same others choose the same ones. If each of them loaded the
// partition itself, the number of loads would grow with the fleet. After a restart of all
// instances, when each knows other ones, there are no stand-ins for some time. Then the
// partitions are assigned anew, and the store's read rate is needed for the owners' loads.
func (s *JobService) standIns(number int) []mesh.Instance {
	var candidates []mesh.Instance
	for _, p := range s.opts.Peers.Peers() {
		h := &p.Heartbeat
		if p.State == mesh.Up && !h.Leaving && !h.Young && h.StoreAge < storeUnreachableAfter {
			candidates = append(candidates, p.Instance)
		}
	}
	if s.canStandIn(number) {
		candidates = append(candidates, s.opts.Peers.Self())
	}
	role := fmt.Sprint("jobs/", number)
	slices.SortFunc(candidates, func(a, b mesh.Instance) int {
		return cmp.Compare(mesh.Rank(role, a), mesh.Rank(role, b))
	})
	return candidates[:min(len(candidates), maxStandIns)]
}

// canStandIn says whether this instance may load a partition in place of its owner.
func (s *JobService) canStandIn(number int) bool {
	if _, owned := s.owner.replicaOf(number); owned {
		return false
	}
	return time.Since(s.startedAt) >= discoveryTime && s.opts.StoreAge() < storeUnreachableAfter
}

// fromStandIns reads through stand-ins until one of them succeeds, and here if none of
// them is reached.
func (r *jobRead[R]) fromStandIns(ctx context.Context, s *JobService, cause readCause) R {
	reply, reached := r.notDone, false
	for _, standIn := range s.standIns(r.number) {
		answer, err := r.at(ctx, s, standIn, cause)
		if err != nil || answer.verdict() == NotHeld {
			continue
		}
		reply, reached = answer, true
		if reply.verdict().isFinal() {
			return reply
		}
	}
	if !reached && s.canStandIn(r.number) {
		return r.here(ctx, cause)
	}
	return reply
}

// at reads the store at an instance, which may be this one.
func (r *jobRead[R]) at(ctx context.Context, s *JobService, i mesh.Instance, cause readCause) (R, error) {
	if i.Name == s.opts.Member {
		return r.here(ctx, cause), nil
	}
	var reply R
	err := s.callPeer(ctx, i.Address, standInReadTimeout, r.storeMethod, r.storeCall, &reply)
	return reply, err
}

// cancelAtStandIns cancels a job through stand-ins, after an attempt with another verdict,
// and here if none of them is reached.
func (s *JobService) cancelAtStandIns(ctx context.Context, call JobCall, verdict Verdict) Verdict {
	reached := false
	number := s.opts.partitionOf(call.Job).Number
	for _, standIn := range s.standIns(number) {
		if standIn.Name == s.opts.Member {
			reached = true
			verdict = verdict.then(s.cancelInStore(ctx, call, readCause{why: isCancellation}))
		} else {
			reply := JobReply{}
			err := s.callPeer(ctx, standIn.Address, viaPeerTimeout, methodCancelFor, &call, &reply)
			if err == nil && reply.Verdict == NotHeld {
				continue
			}
			if err != nil {
				reply.Verdict = Unsure
			}
			reached = reached || err == nil
			verdict = verdict.then(reply.Verdict)
		}
		if verdict.isFinal() {
			return verdict
		}
	}
	if !reached && s.canStandIn(number) {
		verdict = verdict.then(s.cancelInStore(ctx, call, readCause{why: isCancellation}))
	}
	return verdict
}
