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

// claimer is the background service that claims chunks and loads their input.
type claimer struct {
	*Executor
	startRate startRate
	entries   *entryReader
	// meanBodyBytes is the mean size of the item bodies of the chunk loaded last.
	meanBodyBytes int
	// idleSince is the time since which the instance has wanted chunks and found
	// no claimable chunk assigned to it. Zero if it has found one.
	idleSince time.Time
}

// String returns the name of the service for the supervisor.
func (c *claimer) String() string { return "batch claimer" }

// Serve claims chunks while the instance has capacity, until ctx ends.
func (c *claimer) Serve(ctx context.Context) error {
	for {
		journalChanged := c.journal.Changed()
		workChanged := c.workChanged()
		c.loadClaimed(ctx)
		c.releaseStalled(ctx)
		c.claim(ctx)
		timer := time.NewTimer(c.opts.PlanInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		select {
		case <-journalChanged:
		case <-workChanged:
		case <-time.After(maxPlanInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxPlanInterval is the maximum time between two plans. When the session of a
// crashed instance ends, chunks become claimable although the work set of this
// instance has not changed.
const maxPlanInterval = 5 * time.Second

// claim plans and submits claims if the instance can take more chunks.
func (c *claimer) claim(ctx context.Context) {
	if !c.mayClaim() || !c.hasSlots() {
		return
	}
	var current load
	started := 0
	c.inspect(func(w *workset) {
		current = w.load()
		started = c.started
	})
	capacity := c.claimCapacity(current)
	if capacity <= 0 {
		return
	}
	// If the instance already holds enough work, it claims more only for an
	// urgent job or for an organisation of which it holds no items. Such items
	// start before the others.
	want := c.wantedItems(current, c.startRate.update(started, time.Now()))
	hasEnough := want <= 0
	want = min(max(want, 1), capacity)
	plans := c.plan(current, want, hasEnough, false)
	if c.maySteal(len(plans) > 0) {
		plans = c.plan(current, want, hasEnough, true)
	}
	for _, plan := range plans {
		body := &protocol.ChunkClaim{Job: plan.Job, Chunks: plan.Chunks}
		outcome := c.journal.Submit(ctx, protocol.Record{ChunkClaim: body})
		if !outcome.Accepted() {
			counters.Add("claims_lost", 1)
			continue
		}
		counters.Add("claims_won", 1)
		c.loadClaimed(ctx)
	}
}

// maySteal reports whether the instance may claim chunks that are assigned to
// other instances. It may after it has had no claimable chunk of its own for
// StealAfter plus a delay that depends on its session, so that the other
// instances can claim their chunks first.
func (c *claimer) maySteal(hasAssigned bool) bool {
	if hasAssigned {
		c.idleSince = time.Time{}
		return false
	}
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	wait := c.opts.StealAfter + time.Duration(uint64(c.journal.Session())%stealStagger)*c.opts.PlanInterval
	return time.Since(c.idleSince) >= wait
}

// stealStagger is the number of different delays, in planning intervals, over
// which the stealing instances are distributed.
const stealStagger = 4

// plan runs the planner on the current ledger and configuration.
func (c *claimer) plan(current load, want int, urgentOrUnservedOnly, steal bool) []ClaimPlan {
	session := c.journal.Session()
	fleet := c.journal.Fleet()
	var plans []ClaimPlan
	c.journal.View(func(state *replica.State) {
		open := openSessions(state)
		in := PlanInput{
			Now:                  time.Now(),
			HeldItems:            current.byOrg,
			WantItems:            want,
			UrgentOrUnservedOnly: urgentOrUnservedOnly,
			Steal:                steal,
			Instances:            len(open),
			Index:                max(0, slices.Index(open, session)),
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

// loadClaimed loads every chunk that this session holds according to the ledger
// and that is not in the work set. These are the chunks just claimed, and chunks
// whose claim was accepted although its outcome did not reach this instance.
func (c *claimer) loadClaimed(ctx context.Context) {
	session := c.journal.Session()
	if session == 0 || c.isDraining() {
		return
	}
	unloaded := c.unloadedChunks(session)
	// The watcher only follows chunks in the work set. Records that were replayed
	// while the input was being read, such as a cancel, must be applied now.
	defer c.reconcile()
	for _, chunk := range unloaded {
		items, err := c.entries.items(ctx, chunk.input)
		if err != nil && !isUnrecoverable(err) {
			_ = c.logger.Log("event", "chunk_load_failed", "job", chunk.id.Job, "chunk", chunk.id.Chunk, "err", err)
			return
		}
		if err != nil {
			c.failChunk(ctx, chunk)
			continue
		}
		chunk.items = items
		c.meanBodyBytes = meanBodySize(items)
		c.update(func(w *workset) { w.add(chunk.loadedChunk) })
	}
}

// unloadedChunk is a held chunk whose input has not been loaded yet.
type unloadedChunk struct {
	loadedChunk
	input protocol.ChunkRef
}

// unloadedChunks returns the chunks that the session holds according to the
// ledger and that are not in the work set.
func (c *claimer) unloadedChunks(session protocol.SessionID) []unloadedChunk {
	known := map[ledger.ChunkID]bool{}
	c.inspect(func(w *workset) {
		for id, held := range w.chunks {
			known[id] = !held.lost
		}
	})
	var unloaded []unloadedChunk
	c.journal.View(func(state *replica.State) {
		for _, id := range state.Ledger.HeldBy(session) {
			if known[id] {
				continue
			}
			job, _ := state.Ledger.Job(id.Job)
			view, _ := state.Ledger.Chunk(id)
			unloaded = append(unloaded, unloadedChunk{
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
	return unloaded
}

// isUnrecoverable reports whether a failed read can never succeed, as opposed to
// a temporary failure.
func isUnrecoverable(err error) bool {
	return errors.Is(err, external.ErrTrimmed) || errors.Is(err, protocol.ErrMalformed)
}

// failChunk gives all items of a chunk with lost input failed results, so that the
// job ends and its caller sees which items to send again. This is rare because
// DataRefresher refreshes the input: it takes an outage that lasts as long as
// the retention time.
func (c *claimer) failChunk(ctx context.Context, chunk unloadedChunk) {
	_ = c.logger.Log("event", "chunk_input_lost", "job", chunk.id.Job, "chunk", chunk.id.Chunk)
	counters.Add("input_lost", 1)
	chunk.items = make([]bulk.Item, chunk.input.Items)
	c.update(func(w *workset) { w.add(chunk.loadedChunk) })
	var waiting []Item
	c.inspect(func(w *workset) {
		held := w.chunks[chunk.id]
		if held == nil {
			return
		}
		for _, t := range held.tasks {
			if t.state == taskWaiting {
				waiting = append(waiting, t.item)
			}
		}
	})
	for _, item := range waiting {
		result := bulk.Result{Code: protocol.CodeGone, Message: "the input was removed by the platform's retention before the item ran"}
		if c.queueResult(ctx, item, result) != nil {
			return
		}
	}
}
