package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/replica"
)

// claimer is the duty that claims chunks and loads their input.
type claimer struct {
	*Executor
	pace    pace
	entries *entryReader
	// bodyBytes is the mean size of the bodies loaded last.
	bodyBytes int
	// idleSince is since when the instance wants chunks and none falls to it.
	idleSince time.Time
}

// String names the duty.
func (c *claimer) String() string { return "batch claimer" }

// Serve claims whenever there is room, until ctx ends.
func (c *claimer) Serve(ctx context.Context) error {
	for {
		changed := c.journal.Changed()
		wake := c.wake()
		c.adopt(ctx)
		c.giveBack(ctx)
		c.claim(ctx)
		timer := time.NewTimer(c.opts.PlanEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-wake:
		case <-time.After(idlePlan):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// idlePlan is the longest time between two plans. A session of a dead
// instance that ends changes what is claimable without changing the work set.
const idlePlan = 5 * time.Second

func (c *claimer) claim(ctx context.Context) {
	if !c.mayClaim() || !c.hasPlaces() {
		return
	}
	var now load
	started := 0
	c.inspect(func(w *workset) {
		now = w.load()
		started = c.started
	})
	room := c.room(now)
	if room <= 0 {
		return
	}
	// With enough work at hand, only a job that is short of time or of an
	// organisation that has nothing here is a reason to take more: its items go
	// ahead of the others.
	want := c.want(now, c.pace.update(started, time.Now()))
	needyOnly := want <= 0
	want = min(max(want, 1), room)
	plans := c.plan(now, want, needyOnly, false)
	if c.maySteal(len(plans) > 0) {
		plans = c.plan(now, want, needyOnly, true)
	}
	for _, plan := range plans {
		body := &protocol.ChunkClaim{Job: plan.Job, Chunks: plan.Chunks}
		outcome := c.journal.Submit(ctx, protocol.Record{ChunkClaim: body})
		if !outcome.Accepted() {
			counters.Add("claims_lost", 1)
			continue
		}
		counters.Add("claims_won", 1)
		c.adopt(ctx)
	}
}

// maySteal says whether to take chunks that fall to others: after a while
// without any of its own, so that those to whom they fall have had their turn.
func (c *claimer) maySteal(hasOwn bool) bool {
	if hasOwn {
		c.idleSince = time.Time{}
		return false
	}
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	wait := c.opts.StealAfter + time.Duration(uint64(c.journal.Session())%stealStagger)*c.opts.PlanEvery
	return time.Since(c.idleSince) >= wait
}

// stealStagger spreads the instances that steal over so many plans.
const stealStagger = 4

func (c *claimer) plan(now load, want int, needyOnly, steal bool) []ClaimPlan {
	session := c.journal.Session()
	fleet := c.journal.Fleet()
	var plans []ClaimPlan
	c.journal.View(func(state *replica.State) {
		open := openIDs(state)
		in := PlanInput{
			Now:       time.Now(),
			HeldBy:    now.byOrg,
			Want:      want,
			NeedyOnly: needyOnly,
			Steal:     steal,
			Instances: len(open),
			Index:     max(0, slices.Index(open, session)),
			Claimable: func(job protocol.JobID, from, count, limit int) []int {
				return state.Ledger.Claimable(job, state.Sessions, from, count, limit)
			},
		}
		for _, job := range state.Ledger.Running() {
			owner, known := fleet.Organisations[job.Organisation]
			if !known || !job.Deadline.After(in.Now) {
				continue
			}
			in.Jobs = append(in.Jobs, Candidate{
				Job:          job.ID,
				Organisation: job.Organisation,
				Weight:       owner.Weight,
				Deadline:     job.Deadline,
				Remaining:    job.Total - job.Completed - job.Failed,
				Items:        job.Total,
				Chunks:       job.Chunks,
			})
		}
		plans = c.planner.Plan(in)
	})
	return plans
}

// adopt loads every chunk that the ledger says this session holds and the work
// set does not have: the ones just claimed, and any whose claim was thought
// lost with its answer.
func (c *claimer) adopt(ctx context.Context) {
	session := c.journal.Session()
	if session == 0 || c.isDraining() {
		return
	}
	missing := c.missing(session)
	// What was agreed while the input was read, such as a cancel, was agreed
	// before the chunk was in the work set, and the watcher did not see it.
	defer c.reconcile()
	for _, chunk := range missing {
		items, err := c.entries.items(ctx, chunk.input)
		if err != nil && !isLost(err) {
			_ = c.logger.Log("event", "chunk_load_failed", "job", chunk.id.Job, "chunk", chunk.id.Chunk, "err", err)
			return
		}
		if err != nil {
			c.giveUp(ctx, chunk)
			continue
		}
		chunk.items = items
		c.bodyBytes = meanBody(items)
		c.update(func(w *workset) { w.add(chunk.loadedChunk) })
	}
}

// unloadedChunk is a held chunk whose input is not here yet.
type unloadedChunk struct {
	loadedChunk
	input protocol.ChunkRef
}

func (c *claimer) missing(session protocol.SessionID) []unloadedChunk {
	known := map[ledger.ChunkID]bool{}
	c.inspect(func(w *workset) {
		for id, held := range w.chunks {
			known[id] = !held.lost
		}
	})
	var missing []unloadedChunk
	c.journal.View(func(state *replica.State) {
		for _, id := range state.Ledger.HeldBy(session) {
			if known[id] {
				continue
			}
			job, _ := state.Ledger.Job(id.Job)
			view, _ := state.Ledger.Chunk(id)
			missing = append(missing, unloadedChunk{
				loadedChunk: loadedChunk{
					id:           id,
					organisation: job.Organisation,
					endpoint:     job.Endpoint,
					deadline:     job.Deadline,
					won:          view.Finished,
				},
				input: view.Input,
			})
		}
	})
	return missing
}

// isLost tells input that will never come back from input that can't be read
// just now.
func isLost(err error) bool {
	return errors.Is(err, external.ErrTrimmed) || errors.Is(err, protocol.ErrMalformed)
}

// giveUp ends the items of a chunk whose input is gone as failed results, so
// that the job ends and its caller sees which items to send again. Carrying
// live data forward makes this rare: it takes an outage as long as retention.
func (c *claimer) giveUp(ctx context.Context, chunk unloadedChunk) {
	_ = c.logger.Log("event", "chunk_input_lost", "job", chunk.id.Job, "chunk", chunk.id.Chunk)
	counters.Add("input_lost", 1)
	chunk.items = make([]bulk.Item, chunk.input.Items)
	c.update(func(w *workset) { w.add(chunk.loadedChunk) })
	var tasks []Item
	c.inspect(func(w *workset) {
		held := w.chunks[chunk.id]
		if held == nil {
			return
		}
		for _, t := range held.tasks {
			if t.state == taskWaiting {
				tasks = append(tasks, t.item)
			}
		}
	})
	for _, item := range tasks {
		result := bulk.Result{Code: protocol.CodeGone, Message: "the input left the platform's retention before the item ran"}
		if c.report(ctx, item, result) != nil {
			return
		}
	}
}
