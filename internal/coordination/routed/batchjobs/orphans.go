package batchjobs

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
)

// orphansTimeout bounds the question which runs nobody listens to. What is not
// answered is asked again soon.
const orphansTimeout = 150 * time.Millisecond

// RunsCall asks which of the runs at a target are of items of the holder's that
// nobody reads.
type RunsCall struct {
	Target string
	IDs    []string
}

// RunsReply names them.
type RunsReply struct{ IDs []string }

// Orphans gives the ids, of the runs at a target, of items that are to be run or run
// elsewhere: the instance that began these runs is gone, and no other one says that
// it reads them. Whatever the target still makes of them reaches nobody.
func (r *Runner) Orphans(now time.Time, target string, ids []string) []string {
	named := make(map[string]bool, len(ids))
	for _, id := range ids {
		named[id] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readClaims(now)
	var out []string
	for _, t := range r.tasks {
		own := t.cancel != nil && t.choice.ID == target
		if !named[t.id.item] || !t.inherited || own || t.home == nil || r.claimed[t.id] || now.Before(t.claimsUntil) {
			continue
		}
		out = append(out, t.id.item)
	}
	return out
}

// Orphans gives the runs, of those named at a target, that nobody reads, as the
// holders of the items say that are heard.
func (d *Desk) Orphans(ctx context.Context, target string, ids []string) []string {
	ctx, cancel := context.WithTimeout(ctx, orphansTimeout)
	defer cancel()
	out := d.runner.Orphans(time.Now(), target, ids)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, p := range d.opts.Peers.Peers() {
		if p.State != mesh.Up || len(p.Beat.Partitions) == 0 {
			continue
		}
		asked.Go(func() {
			var reply RunsReply
			if d.opts.Caller.Call(ctx, p.Address, methodOrphans, &RunsCall{Target: target, IDs: ids}, &reply) != nil {
				// It is asked again as long as the runs go on.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, reply.IDs...)
		})
	}
	asked.Wait()
	return out
}

// Orphans gives the runs that nobody reads.
func (r *Receiver) Orphans(args *RunsCall, reply *RunsReply) error {
	reply.IDs = r.desk.runner.Orphans(time.Now(), args.Target, args.IDs)
	return nil
}
