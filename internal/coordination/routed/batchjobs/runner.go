package batchjobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/wait"
)

const (
	// pollInterval is how often the runner checks whether a waiting item may
	// start.
	pollInterval = 40 * time.Millisecond
	// yieldDelay is how long an item waits before its next run after it yielded
	// its slot or a target rejected it.
	yieldDelay = 60 * time.Millisecond
	// failureBackoff is how long an item waits after a failed run. It doubles with
	// each further failure, up to maxFailureBackoff.
	failureBackoff    = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// claimWait is how long a new owner waits for other instances to claim the
	// items that they run: two heartbeats from another failure domain.
	claimWait = 400 * time.Millisecond
	// restartClaimWait replaces claimWait after a restart of all instances, when
	// no instance has an item to claim. It lets the instances find each other and
	// ask the targets what they run.
	restartClaimWait = 150 * time.Millisecond
)

var (
	itemRuns   = metrics.NewCounter(`batch_item_runs_total`)
	itemYields = metrics.NewCounter(`batch_item_yields_total`)
)

// itemID identifies an item of a job.
type itemID struct{ job, item string }

// openItem is an item that has no result yet.
type openItem struct {
	id   itemID
	item jobs.Item
	job  jobs.Job
	// index is the item's index in its job, progress the stored part of its output.
	index    int
	progress jobs.Progress
}

// Runner runs the items of the owned partitions. It is a background service.
type Runner struct {
	opts *Options
	// handOvers counts the results and partial outputs being sent to owners.
	handOvers atomic.Int64
	// replicaOf returns the replica of a partition that this instance owns.
	replicaOf func(number int) (*partitionReplica, bool)

	mu       sync.Mutex
	estimate runEstimate
	// changed is closed when items are added or may start.
	changed chan struct{}
	tasks   map[itemID]*task
	waiting []*task
	ctx     context.Context
	// delivering holds the items whose results are being sent to the owners of
	// their partitions.
	delivering map[itemID]bool
	// shuttingDown stops new runs.
	shuttingDown bool
	// placing holds the queues from which items are being placed.
	placing map[itemQueue]bool
	// untargeted holds the queues without targets, and when that was last checked.
	untargeted map[itemQueue]time.Time
	// recent is what runnable last returned.
	recent runnableItems
	// claimedByPeers holds the items that other instances run, as of claimsReadAt.
	claimedByPeers map[itemID]bool
	claimsReadAt   time.Time
}

// NewRunner returns a runner without items.
func NewRunner(opts *Options) *Runner {
	r := &Runner{
		opts: opts, changed: make(chan struct{}), estimate: newRunEstimate(), tasks: map[itemID]*task{}, delivering: map[itemID]bool{},
		placing: map[itemQueue]bool{}, untargeted: map[itemQueue]time.Time{},
	}
	metrics.GetOrCreateGauge(`batch_items{state="open"}`, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.tasks))
	})
	return r
}

// String is the name of the background service.
func (r *Runner) String() string { return "jobs-runner" }

// Serve places waiting items until ctx ends, with one goroutine for each service and failure domain.
func (r *Runner) Serve(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	var placing sync.WaitGroup
	for ctx.Err() == nil {
		for _, q := range r.queuesToPlace(time.Now()) {
			placing.Go(func() { r.placeItems(ctx, q) })
		}
		r.waitForWork(ctx)
	}
	placing.Wait()
	return ctx.Err()
}

// waitForWork waits until an item may be able to start. It polls only while items wait.
// Otherwise only a change can bring work, and in a large fleet most instances own no
// partition.
func (r *Runner) waitForWork(ctx context.Context) {
	r.mu.Lock()
	changed, waiting := r.changed, len(r.waiting)
	r.mu.Unlock()
	var poll <-chan time.Time
	if waiting > 0 {
		timer := time.NewTimer(pollInterval)
		defer timer.Stop()
		poll = timer.C
	}
	select {
	case <-changed:
	case <-poll:
	case <-ctx.Done():
	}
}

// notifyChange wakes the goroutines that place items. The caller holds the lock.
func (r *Runner) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// syncItems makes the tasks match the open items of a partition. It reads the items
// while it holds the runner's lock. Otherwise, of two changes in quick succession, the
// older set of items could be applied last and remove the items that the newer one added.
func (r *Runner) syncItems(p *partitionReplica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.released {
		return
	}
	open, acquiredAt := p.openItems()
	wanted := make(map[itemID]bool, len(open))
	for i := range open {
		o := &open[i]
		wanted[o.id] = true
		if known := r.tasks[o.id]; known != nil {
			// The item's partition was lost and is owned again.
			known.replica = p
			continue
		}
		t := &task{openItem: *o, runner: r, replica: p, position: exchange.FromStart, notBefore: time.Now()}
		t.subject = quarantine.Request{ID: o.id.item, Key: quarantine.ItemKey(o.id.job, o.id.item), Parts: r.opts.SharedParts(o.item.Header), Expires: o.job.GiveUp}
		t.output.reset()
		if o.job.Submitted.Before(acquiredAt) {
			t.mayRunElsewhere = true
			t.notBefore, t.claimsUntil = r.inheritedItemTimes(time.Now(), acquiredAt)
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

// releaseItems detaches the items of a partition that this instance no longer owns.
// Running items go on, as claims. The output of waiting items and the unpublished
// results are sent to the new owner.
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

// discardTask ends the task of an item whose result came from another instance.
func (r *Runner) discardTask(id itemID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[id]; t != nil {
		r.endTask(t)
	}
}

// handOver ends a waiting task and sends its output to the owner of its partition.
// The caller holds the lock.
func (r *Runner) handOver(t *task) {
	r.endTask(t)
	if t.events > 0 || t.failures > 0 {
		r.handOvers.Add(1)
		go r.deliverPartialOutput(t.partialOutput())
	}
}

// Shutdown stops all runs and sends their output to the owners of their partitions.
// The partitions must have been released before.
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

// hasUnfinishedWork says that tasks or hand-overs are left.
func (r *Runner) hasUnfinishedWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks) > 0 || r.handOvers.Load() > 0
}

// endTask removes a task and cancels its run. The caller holds the lock.
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
		// The result is now queued in its partition. Until it is published, the
		// item counts as pending and does not run again. If another instance owns
		// the partition, the result is sent to that instance.
		t.ended = true
		delete(r.tasks, t.id)
	}
	replica := t.replica
	f := finishedItem{job: t.id.job, result: result}
	if !ended && replica == nil {
		r.startDelivery(f)
	}
	r.mu.Unlock()
	switch {
	case ended:
	case replica != nil:
		replica.addResult(f)
	default:
		r.deliverResult(f)
	}
}

// Yield ends the run that holds the slot granted under a number, and says whether
// there was one. The item later continues from its last event, at any target.
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
		received, unstored := t.output.counts()
		_ = level.Info(r.opts.Logger).Log("event", "item_yields", "item", t.id.item, "job", t.id.job, "target", t.choice.ID,
			"ran_ms", time.Since(t.startedAt).Milliseconds(), "events", received, "unstored", unstored,
			"due_in_ms", time.Until(t.job.Due).Milliseconds())
		return true
	}
	return false
}

// startRun starts a run of a task at a target. The caller holds the lock.
func (r *Runner) startRun(t *task, choice placement.Choice) {
	ctx, cancel := context.WithCancel(r.ctx)
	t.cancel, t.choice, t.yielding, t.startedAt = cancel, choice, false, time.Now()
	itemRuns.Inc()
	r.opts.Placer.SetRunID(choice, t.id.item)
	go t.run(ctx, choice)
}
