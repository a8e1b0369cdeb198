package batchjobs

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
)

// maxRuntimeFactor is how many times its estimated run time a target may be busy with
// an item. Lengths of items differ by a quarter.
const maxRuntimeFactor = 1.5

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

// mostUrgent returns the item that should start first.
func (r *Runner) mostUrgent(now time.Time) (broker.Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, service := r.firstRunnable(now, "")
	if t == nil {
		return broker.Item{}, false
	}
	remaining := r.estimate.remaining(t.events)
	return broker.Item{
		Service: service, Deadline: t.job.Due, StartBy: t.job.Due.Add(-remaining),
		MaxRuntime: time.Duration(maxRuntimeFactor * float64(remaining)),
	}, true
}

// firstRunnable returns the waiting item that should start first, of one service or, if
// of is empty, of all. It fails the items that can no longer be done. The caller holds
// the lock.
func (r *Runner) firstRunnable(now time.Time, of string) (*task, string) {
	table := r.opts.Table()
	if r.shuttingDown || table == nil || len(r.waiting) == 0 {
		return nil, ""
	}
	r.sortWaiting(now)
	r.refreshClaims(now)
	for _, t := range slices.Clone(r.waiting) {
		if now.Before(t.notBefore) || r.claimedByPeers[t.id] {
			continue
		}
		if reason := t.failureReason(now, table); reason != "" {
			t.fail(reason)
			r.dequeue(t)
			continue
		}
		if service, ok := t.service(table); ok && (of == "" || of == service) {
			return t, service
		}
	}
	return nil, ""
}

// startItem starts the item of a service that is now the most urgent at a target.
func (r *Runner) startItem(service string, choice placement.Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, _ := r.firstRunnable(time.Now(), service)
	if t == nil {
		go r.opts.Placer.Done(choice, placement.Cancelled)
		return
	}
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
	t.notBefore = time.Now().Add(pause)
	r.waiting = append(r.waiting, t)
	r.notifyChange()
}
