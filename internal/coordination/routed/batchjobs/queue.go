package batchjobs

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
)

// lastsMost is how much longer than usual a target may be busy with an item.
// Lengths of items differ by a quarter.
const maxRuntimeFactor = 1.5

// sort puts the items first that are due first, and behind them those that can't
// be done in time.
//
// The load it answers: for some seconds there are more items than slots. By due
// time alone, the items that are late already would take the slots, and the next
// ones would get late behind them, one after the other.
func (r *Runner) sortWaiting(now time.Time) {
	for _, t := range r.waiting {
		t.late = now.Add(r.estimate.remaining(t.events)).After(t.job.Deadline)
	}
	slices.SortStableFunc(r.waiting, func(a, b *task) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(a.job.Deadline.Compare(b.job.Deadline), cmp.Compare(a.id.job, b.id.job))
	})
}

// mostUrgent gives the item that should begin first.
func (r *Runner) mostUrgent(now time.Time) (broker.Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, service := r.firstRunnable(now, "")
	if t == nil {
		return broker.Item{}, false
	}
	left := r.estimate.remaining(t.events)
	return broker.Item{
		Service: service, Due: t.job.Deadline, BeginBy: t.job.Deadline.Add(-left),
		Lasts: time.Duration(maxRuntimeFactor * float64(left)),
	}, true
}

// first gives the waiting item that should begin first, of one service or of all.
// Items that can't be done any more are given up on the way. It needs the lock.
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

// begin begins the item that is the most urgent one now at a target.
func (r *Runner) startItem(service string, choice placement.Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, _ := r.firstRunnable(time.Now(), service)
	if t == nil {
		go r.opts.Placer.Done(choice, placement.Left)
		return
	}
	r.dequeue(t)
	r.startRun(t, choice)
}

func (r *Runner) dequeue(t *task) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *task) bool { return w == t })
}

// requeue lets a task wait for its next run.
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
