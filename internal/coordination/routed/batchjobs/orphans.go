package batchjobs

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/mesh"
)

// orphansTimeout bounds the question which runs nobody listens to. What is not
// answered is asked again soon.
const orphansTimeout = 150 * time.Millisecond

// RunsCall asks which of some runs are of items of the holder's that nobody reads.
type RunsCall struct{ Runs []broker.TargetRun }

// RunsReply names them.
type RunsReply struct{ Runs []broker.TargetRun }

// Orphans gives those of some runs whose items are to be run or run elsewhere: the
// instance that began these runs is gone, and no other one says that it reads them.
// Whatever the targets still make of them reaches nobody.
func (r *Runner) Orphans(now time.Time, runs []broker.TargetRun) []broker.TargetRun {
	named := map[string][]broker.TargetRun{}
	for _, run := range runs {
		named[run.Run] = append(named[run.Run], run)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readClaims(now)
	var out []broker.TargetRun
	for _, t := range r.tasks {
		found := named[t.id.item]
		if len(found) == 0 || !t.inherited || t.home == nil || r.claimed[t.id] || now.Before(t.claimsUntil) {
			continue
		}
		for _, run := range found {
			if t.cancel == nil || t.choice.ID != run.Target {
				out = append(out, run)
			}
		}
	}
	return out
}

// Orphans gives those of some runs that nobody reads, as the holders of the items say
// that are heard.
func (d *Desk) Orphans(ctx context.Context, runs []broker.TargetRun) []broker.TargetRun {
	ctx, cancel := context.WithTimeout(ctx, orphansTimeout)
	defer cancel()
	out := d.runner.Orphans(time.Now(), runs)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, p := range d.opts.Peers.Peers() {
		if p.State != mesh.Up || len(p.Heartbeat.Partitions) == 0 {
			continue
		}
		asked.Go(func() {
			var reply RunsReply
			if d.opts.Caller.Call(ctx, p.Address, methodOrphans, &RunsCall{Runs: runs}, &reply) != nil {
				// It is asked again as long as the runs go on.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, reply.Runs...)
		})
	}
	asked.Wait()
	return out
}

// Orphans gives the runs that nobody reads.
func (r *Receiver) Orphans(args *RunsCall, reply *RunsReply) error {
	reply.Runs = r.desk.runner.Orphans(time.Now(), args.Runs)
	return nil
}
