package batchjobs

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
)

const (
	// maxDomains bounds the failure domains in which items are placed at the same time.
	maxDomains = 4
	// targetsCheckInterval is how often it is checked whether a target of a queue without targets is
	// listed again.
	targetsCheckInterval = 200 * time.Millisecond
	// slotWait is how long an item waits at a broker for a slot before its queue asks again.
	slotWait = 200 * time.Millisecond
	// servicesAtSlotWait is the number of services with waiting items up to which it waits for slotWait.
	// With more services it waits longer, up to maxSlotWait, so that an instance does not send more
	// requests the more services lack slots.
	servicesAtSlotWait = 4
	maxSlotWait        = 2 * time.Second
)

// itemQueue holds the waiting items of a service that may run in a failure domain. Items of different
// services need different targets, so each queue is served by a goroutine of its own. If one goroutine
// served several services, the items of one without slots would hold up those of the others.
type itemQueue struct{ service, domain string }

// runnableItems is what runnable returned at some time. It holds until changed is closed.
type runnableItems struct {
	at      time.Time
	changed chan struct{}
	list    []runnableTask
	// services are those of the items.
	services []string
}

// queuesToPlace returns the queues with items that no goroutine serves yet, and marks them as served.
func (r *Runner) queuesToPlace(now time.Time) (out []itemQueue) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recentRunnable(now)) == 0 {
		return nil
	}
	domains := r.opts.Placer.Domains()
	domains = domains[:min(len(domains), maxDomains)]
	for _, service := range r.recent.services {
		for _, domain := range domains {
			if q := (itemQueue{service, domain}); r.mayPlace(now, q) {
				r.placing[q] = true
				out = append(out, q)
			}
		}
	}
	return out
}

// mayPlace reports whether a queue needs a goroutine. The caller holds the lock.
func (r *Runner) mayPlace(now time.Time, q itemQueue) bool {
	checkedAt, known := r.untargeted[q]
	if r.placing[q] || known && now.Sub(checkedAt) < targetsCheckInterval {
		return false
	}
	if r.hasTargets(q) {
		delete(r.untargeted, q)
		return true
	}
	if !known {
		_ = level.Info(r.opts.Logger).Log("event", "items_without_targets", "service", q.service, "domain", q.domain, "waiting", len(r.waiting))
	}
	r.untargeted[q] = now
	return false
}

// hasTargets reports whether a target is listed that items of a queue could run at. Brokers are not asked for
// slots of a service that has none.
func (r *Runner) hasTargets(q itemQueue) bool {
	return r.opts.Placer.HasTargets(placement.Requirements{Service: q.service, Domain: q.domain, Batch: true})
}

// placeItems places the items of a queue, the most urgent first, until it is empty or has no targets, or ctx
// ends.
func (r *Runner) placeItems(ctx context.Context, q itemQueue) {
	for ctx.Err() == nil {
		item, ok := r.nextItem(time.Now(), q)
		if !ok {
			return
		}
		if choice, found := r.opts.Placer.PlaceItem(ctx, q.domain, item); found {
			r.opts.Quarantine.CatchUp(ctx)
			r.startItem(q.service, choice)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.placing, q)
}

// nextItem returns the most urgent item of a queue. If there is none, the queue is no longer served.
func (r *Runner) nextItem(now time.Time, q itemQueue) (broker.Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.recentRunnable(now)
	at := slices.IndexFunc(list, func(candidate runnableTask) bool { return candidate.service == q.service })
	if at < 0 || !r.hasTargets(q) {
		delete(r.placing, q)
		return broker.Item{}, false
	}
	item := r.request(now, list, at)
	item.Wait = slotWaitFor(len(r.recent.services))
	return item, true
}

// slotWaitFor returns how long an item waits at a broker while items of some services wait.
func slotWaitFor(services int) time.Duration {
	return min(maxSlotWait, slotWait*time.Duration(max(services, servicesAtSlotWait))/servicesAtSlotWait)
}

// servicesOf returns the services of items, each once.
func servicesOf(list []runnableTask) (out []string) {
	seen := map[string]bool{}
	for _, candidate := range list {
		if !seen[candidate.service] {
			seen[candidate.service] = true
			out = append(out, candidate.service)
		}
	}
	return out
}

// recentRunnable returns the waiting items that may start, the most urgent first, as of pollInterval ago at
// most: many queues ask for them at the same time. The caller holds the lock.
func (r *Runner) recentRunnable(now time.Time) []runnableTask {
	if r.recent.changed != r.changed || now.Sub(r.recent.at) >= pollInterval {
		list := r.runnable(now)
		r.recent = runnableItems{now, r.changed, list, servicesOf(list)}
	}
	r.recent.list = slices.DeleteFunc(r.recent.list, func(candidate runnableTask) bool {
		return candidate.task.ended || candidate.task.cancel != nil
	})
	return r.recent.list
}
