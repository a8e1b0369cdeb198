package batchjobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/wait"
)

const (
	// lookEvery is how often it is looked whether an item that waits for a while
	// may begin.
	pollInterval = 40 * time.Millisecond
	// yieldPause is how long an item waits that gave up its slot.
	yieldDelay = 60 * time.Millisecond
	// failPause is how long an item waits after a failed run, doubled with each
	// further one up to failMost.
	failureBackoff    = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// claimWait is how long a new holder waits for others to claim the items
	// that they run: two messages of another failure domain.
	claimWait = 400 * time.Millisecond
	// startWait is the same after a restart of all instances, when nobody has anything
	// to claim: until the instances have found each other and asked the targets what
	// they run.
	restartClaimWait = 150 * time.Millisecond
)

var (
	itemRuns   = metrics.NewCounter(`batch_item_runs_total`)
	itemYields = metrics.NewCounter(`batch_item_yields_total`)
)

// itemID names an item of a job.
type itemID struct{ job, item string }

// openItem is an item that is to be run.
type openItem struct {
	id   itemID
	item jobs.Item
	job  jobs.Job
	// place is that of the item in its job, kept what was kept of its output.
	index    int
	progress jobs.Progress
}

// Runner runs the items of the partitions that are held. It is a duty.
type Runner struct {
	opts *Options
	// handing counts what is being handed to holders.
	handOvers atomic.Int64
	// local gives a partition that is held here.
	replicaOf func(number int) (*partitionReplica, bool)

	mu       sync.Mutex
	estimate runEstimate
	// changed is closed when items come or may begin.
	changed chan struct{}
	tasks   map[itemID]*task
	waiting []*task
	ctx     context.Context
	// delivering are results on their way to the holders of their partitions.
	delivering map[itemID]bool
	// leaving says that nothing new is begun.
	shuttingDown bool
	// claimed are the items that others run, as of claimedAt.
	claimedByPeers map[itemID]bool
	claimsReadAt   time.Time
}

// NewRunner returns a runner without items.
func NewRunner(opts *Options) *Runner {
	r := &Runner{opts: opts, changed: make(chan struct{}), estimate: newRunEstimate(), tasks: map[itemID]*task{}, delivering: map[itemID]bool{}}
	metrics.GetOrCreateGauge(`batch_items{state="open"}`, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.tasks))
	})
	return r
}

// String names the duty.
func (r *Runner) String() string { return "jobs-runner" }

// Serve finds slots for the items that wait until ctx ends, in each failure domain
// by a goroutine of its own.
func (r *Runner) Serve(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	var seekers sync.WaitGroup
	for i := range maxDomains {
		seekers.Go(func() { r.placeItems(ctx, i) })
	}
	seekers.Wait()
	return ctx.Err()
}

// mostDomains bounds the failure domains in which slots are sought at once.
const maxDomains = 4

// seek finds slots in the failure domain that comes at a place in the order of
// this instance.
func (r *Runner) placeItems(ctx context.Context, place int) {
	for ctx.Err() == nil {
		item, ok := r.mostUrgent(time.Now())
		if !ok {
			r.waitForWork(ctx)
			continue
		}
		domains := r.opts.Placer.Domains()
		if place >= len(domains) {
			r.waitForWork(ctx)
			continue
		}
		if choice, found := r.opts.Placer.PlaceItem(ctx, domains[place], item); found {
			r.startItem(item.Service, choice)
		}
	}
}

// idle waits until something may have changed. While no item waits, nothing changes by
// the passing of time, and most instances of a large fleet hold no partition at all.
func (r *Runner) waitForWork(ctx context.Context) {
	r.mu.Lock()
	changed, waiting := r.changed, len(r.waiting)
	r.mu.Unlock()
	var look <-chan time.Time
	if waiting > 0 {
		timer := time.NewTimer(pollInterval)
		defer timer.Stop()
		look = timer.C
	}
	select {
	case <-changed:
	case <-look:
	case <-ctx.Done():
	}
}

// poke wakes those who seek slots. It needs the lock.
func (r *Runner) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh takes over which items of a partition are open. It looks while it has the
// runner's lock: of two changes that come close together, the older look could be
// taken in last, and would have the items forgotten that the newer one brought.
func (r *Runner) syncItems(p *partitionReplica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.released {
		return
	}
	open, held := p.openItems()
	wanted := make(map[itemID]bool, len(open))
	for i := range open {
		o := &open[i]
		wanted[o.id] = true
		if known := r.tasks[o.id]; known != nil {
			// An item of a partition that was lost and is held again.
			known.replica = p
			continue
		}
		t := &task{openItem: *o, runner: r, replica: p, position: exchange.FromStart}
		t.output.reset()
		if o.job.Submitted.Before(held) {
			t.mayRunElsewhere = true
			t.notBefore, t.claimsUntil = r.inheritedItemTimes(time.Now(), held)
		}
		t.resume(o.progress)
		t.adopt(p.takePartialOutput(o.id))
		r.tasks[o.id] = t
		r.waiting = append(r.waiting, t)
	}
	for id, t := range r.tasks {
		if t.replica == p && !wanted[id] {
			r.endTask(t)
		}
	}
	r.notifyChange()
}

// drop lets go of the items of a partition that is held no more. Those that run
// go on, as claims; what the others have is handed to the new holder.
func (r *Runner) releaseItems(p *partitionReplica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.released = true
	for _, t := range r.tasks {
		if t.replica != p {
			continue
		}
		t.replica = nil
		if t.cancel == nil {
			r.handOver(t)
		}
	}
	for _, f := range p.takeUnpublished() {
		r.startDelivery(f)
		go r.deliverResult(f)
	}
}

// settle ends the task of an item whose result came from elsewhere.
func (r *Runner) discardTask(id itemID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[id]; t != nil {
		r.endTask(t)
	}
}

// handBack gives what a waiting task has to the holder of its partition and
// forgets the task. It needs the lock.
func (r *Runner) handOver(t *task) {
	r.endTask(t)
	if t.events > 0 || t.failures > 0 {
		r.handOvers.Add(1)
		go r.deliverPartialOutput(t.partialOutput())
	}
}

// Shutdown ends all runs and hands what they have to the holders of their
// partitions. It comes after the partitions were given up.
func (r *Runner) Shutdown(ctx context.Context) {
	r.mu.Lock()
	r.shuttingDown = true
	for _, t := range r.tasks {
		if t.cancel != nil {
			t.cancel()
		}
	}
	r.mu.Unlock()
	for ctx.Err() == nil && r.hasUnfinishedWork() {
		wait.For(ctx, pollInterval)
	}
}

// busy says that something is still to be handed over.
func (r *Runner) hasUnfinishedWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks) > 0 || r.handOvers.Load() > 0
}

// forget ends a task. It needs the lock.
func (r *Runner) endTask(t *task) {
	if r.tasks[t.id] == t {
		delete(r.tasks, t.id)
	}
	t.ended = true
	if t.cancel != nil {
		t.cancel()
	}
	r.dequeue(t)
}

// finish ends a task with a result.
func (r *Runner) finish(t *task, result jobs.Result) {
	r.mu.Lock()
	ended := t.ended
	if result.Outcome == jobs.Succeeded {
		r.estimate.observe(t.events, t.runTime)
	}
	if !ended {
		// The result waits in its partition now; until it is listed there, the
		// item counts as pending and is not run again. Where the partition is
		// held elsewhere, the holder is told.
		t.ended = true
		delete(r.tasks, t.id)
	}
	home := t.replica
	f := finishedItem{job: t.id.job, result: result}
	if !ended && home == nil {
		r.startDelivery(f)
	}
	r.mu.Unlock()
	switch {
	case ended:
	case home != nil:
		home.addResult(f)
	default:
		r.deliverResult(f)
	}
}

// Yield gives the slot back that a broker gave under a number, if an item still
// has it. The item goes on elsewhere from where it is.
func (r *Runner) Yield(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.cancel == nil || t.yielding || t.choice.Number != number {
			continue
		}
		t.yielding = true
		t.cancel()
		itemYields.Inc()
		_ = level.Info(r.opts.Logger).Log("event", "item_yields", "item", t.id.item, "job", t.id.job, "target", t.choice.ID,
			"due_in_ms", time.Until(t.job.Deadline).Milliseconds())
		return true
	}
	return false
}

// runs notes that a task has begun. It needs the lock.
func (r *Runner) startRun(t *task, choice placement.Choice) {
	ctx, cancel := context.WithCancel(r.ctx)
	t.cancel, t.choice, t.yielding, t.startedAt = cancel, choice, false, time.Now()
	itemRuns.Inc()
	r.opts.Placer.Runs(choice, t.id.item)
	go t.run(ctx, choice)
}
