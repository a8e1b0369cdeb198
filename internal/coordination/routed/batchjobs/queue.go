package batchjobs

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
)

const (
	// endedTargetPause is how long an item waits at least once a second target has ended under it. By
	// then all instances that may run the item know of it, also if its owner changes.
	endedTargetPause = time.Second
	// endedTargetSpread is the time over which the items that lost a target spread their next runs.
	// Otherwise sound ones would start together with the one that ends targets, again and again, at
	// the same target.
	endedTargetSpread = time.Second
)

// maxRuntimeFactor is how many times its estimated run time a target may be busy with
// an item. Lengths of items differ by a quarter.
const maxRuntimeFactor = 1.5

// closedDelay is how long an item that is closed, or has closed parts, waits until it is tried again
// whether it is their trial.
const closedDelay = time.Second

// sortWaiting sorts the waiting items by deadline, and puts those that can no longer
// meet their deadlines at the end.
//
// This matters while there are more items than slots, which lasts some seconds at a time.
// Sorted by deadline alone, items that are late already would take the slots and make the
// items behind them late too, one after the other.
func (r *Runner) sortWaiting(now time.Time) {
	for _, t := range r.waiting {
		t.late = now.Add(r.estimate.remaining(t.events)).After(t.job.Due)
	}
	slices.SortStableFunc(r.waiting, func(a, b *task) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(a.job.Due.Compare(b.job.Due), cmp.Compare(a.id.job, b.id.job))
	})
}

// request returns the request for a slot for one of the items that may start. The caller holds the lock.
func (r *Runner) request(now time.Time, runnable []runnableTask, at int) broker.Item {
	t, service := runnable[at].task, runnable[at].service
	remaining := r.estimate.remaining(t.events)
	_, unstored := t.output.counts()
	return broker.Item{
		Service: service, Versions: r.acceptedVersions(now, runnable, service), Deadline: t.job.Due, StartBy: t.job.Due.Add(-remaining),
		MaxRuntime: time.Duration(maxRuntimeFactor * float64(remaining)),
		Needs:      remaining, Unstored: r.estimate.timeOf(unstored), ID: t.id.item, Job: t.id.job,
	}
}

// runnableTask is a waiting item that may start, with its service.
type runnableTask struct {
	task    *task
	service string
}

// runnable returns the waiting items that may start, the most urgent first. It fails the items
// that can no longer be done, and restarts those that can't go on. The caller holds the lock.
func (r *Runner) runnable(now time.Time) (out []runnableTask) {
	table := r.opts.Table()
	if r.shuttingDown || table == nil || len(r.waiting) == 0 {
		return nil
	}
	r.sortWaiting(now)
	r.refreshClaims(now)
	listed := listedVersions{}
	for _, t := range slices.Clone(r.waiting) {
		if now.Before(t.notBefore) || r.claimedByPeers[t.id] {
			continue
		}
		if reason := t.failureReason(now, table); reason != "" {
			t.fail(reason)
			r.dequeue(t)
			continue
		}
		if r.opts.Quarantine.Closed(t.subject) {
			t.logHeld()
			continue
		}
		if ends, last := r.opts.Quarantine.Ends(t.subject); ends > 0 && now.Sub(last) < t.pauseAfterEnds(ends) {
			continue
		}
		if service, ok := t.service(table); ok {
			r.settleVersion(t, service, listed)
			out = append(out, runnableTask{t, service})
		}
	}
	return out
}

// pauseAfterEnds returns how long the item waits after the last end of a target under it.
func (t *task) pauseAfterEnds(ends int) time.Duration {
	pause := time.Duration(xxhash.Sum64String(t.subject.Key) % uint64(endedTargetSpread))
	if ends > 1 {
		pause += endedTargetPause
	}
	return pause
}

// logHeld logs once that an item waits since it or parts of its prompt are closed.
func (t *task) logHeld() {
	if t.held {
		return
	}
	t.held = true
	_ = level.Info(t.runner.opts.Logger).Log("event", "item_held", "item", t.id.item, "job", t.id.job, "parts", strings.Join(t.subject.Parts, ","), "key", t.subject.Key,
		"due_in_ms", time.Until(t.job.Due).Milliseconds())
}

// startItem starts the item of a service that is now the most urgent of those that may run at
// a target.
func (r *Runner) startItem(service string, choice placement.Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.taskFor(now, r.runnable(now), service, choice.Version)
	if t == nil {
		r.recent = runnableItems{}
		go r.opts.Placer.Done(choice, placement.Cancelled)
		return
	}
	decision := r.opts.Quarantine.Check(t.subject)
	if decision.Closed {
		t.notBefore = now.Add(closedDelay)
		// Otherwise its queue would ask for it again at once.
		r.recent = runnableItems{}
		go r.opts.Placer.Done(choice, placement.Cancelled)
		return
	}
	if !t.mayRunAt(choice.Version) {
		r.restart(t, versionFull)
	}
	t.trial = decision.Trial
	r.dequeue(t)
	r.startRun(t, choice)
}

// dequeue removes a task from the waiting items. The caller holds the lock.
func (r *Runner) dequeue(t *task) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *task) bool { return w == t })
}

// requeue queues a task for its next run after a delay. The task is handed over instead
// if this instance no longer owns its partition or shuts down.
func (r *Runner) requeue(t *task, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.cancel = nil
	if t.ended {
		return
	}
	if t.replica == nil || r.shuttingDown {
		r.handOver(t)
		return
	}
	t.notBefore, t.passedOverAt = time.Now().Add(pause), time.Time{}
	r.waiting = append(r.waiting, t)
	r.notifyChange()
}
