package batchjobs

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/mesh"
)

// orphansCallTimeout bounds the call that asks for orphaned runs. If it fails, the
// question is repeated soon.
const orphansCallTimeout = 150 * time.Millisecond

// OrphansCall asks which of some runs are orphans of the callee's items: no instance
// reads their output.
type OrphansCall struct{ Runs []broker.TargetRun }

// OrphansReply lists the orphaned runs.
type OrphansReply struct{ Runs []broker.TargetRun }

// Orphans returns those of the runs that are orphans: the instance that started them
// is down, their items wait or run at another target, and no other instance claims
// them. The output of such a run reaches no caller.
func (r *Runner) Orphans(now time.Time, runs []broker.TargetRun) []broker.TargetRun {
	runsByItem := map[string][]broker.TargetRun{}
	for _, run := range runs {
		runsByItem[run.Run] = append(runsByItem[run.Run], run)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshClaims(now)
	var out []broker.TargetRun
	for _, t := range r.tasks {
		matching := runsByItem[t.id.item]
		if len(matching) == 0 || !t.mayRunElsewhere || t.replica == nil || r.claimedByPeers[t.id] || now.Before(t.claimsUntil) {
			continue
		}
		for _, run := range matching {
			if t.cancel == nil || t.choice.ID != run.Target {
				out = append(out, run)
			}
		}
	}
	return out
}

// Orphans returns those of the runs that are orphans, according to the reachable owners
// of their items.
func (s *JobService) Orphans(ctx context.Context, runs []broker.TargetRun) []broker.TargetRun {
	ctx, cancel := context.WithTimeout(ctx, orphansCallTimeout)
	defer cancel()
	out := s.runner.Orphans(time.Now(), runs)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range s.opts.Peers.Peers() {
		if p.State != mesh.Up || len(p.Heartbeat.Partitions) == 0 {
			continue
		}
		calls.Go(func() {
			var reply OrphansReply
			if s.opts.Caller.Call(ctx, p.Address, methodOrphans, &OrphansCall{Runs: runs}, &reply) != nil {
				// The question is repeated as long as the runs go on.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, reply.Runs...)
		})
	}
	calls.Wait()
	return out
}

// Orphans returns those of the runs that are orphans of this instance's items.
func (r *Receiver) Orphans(args *OrphansCall, reply *OrphansReply) error {
	reply.Runs = r.service.runner.Orphans(time.Now(), args.Runs)
	return nil
}
