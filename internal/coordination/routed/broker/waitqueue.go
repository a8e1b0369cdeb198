package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// Waiter is a request or a batch item that waits for a slot.
type Waiter struct {
	instance     string
	hold         Hold
	requirements placement.Requirements
	// sendBy is when the request must be sent for its answer to be on time. arrived is when
	// it arrived at the requesting instance.
	sendBy, arrived time.Time
	// start is the decision about a batch item by the forecast of demand.
	start startDecision

	// The other fields are used only with fair queueing, see fairness.go.

	// organisation and weight decide on its share of scarce slots.
	organisation string
	weight       float64
	// rejectBy is until when the request may be rejected, zero if it may not be. waitBy is when
	// it stops waiting, zero if that is not known.
	rejectBy, waitBy time.Time
	// waitsSince is when the reported wait began: the arrival of a request that waits for the first
	// time, and otherwise the time at which it entered the queue. The waits of a request at several
	// brokers then add up to its whole wait. waited is set once it found no free slot, and
	// waitReported once its wait has ended and is reported.
	waitsSince           time.Time
	waited, waitReported bool
	// counted is set once the request is counted as an arrival.
	counted bool
	// rank is its rank while slots are scarce, and lag how far its start tag is ahead of virtual
	// time, both as of the last ordering.
	rank int
	lag  float64
	// state is the last estimate of its wait, as of estimatedAt.
	state       placement.QueueState
	estimatedAt time.Time
}

// waitQueue holds the requests and batch items that wait at a broker.
//
// At the peak of a load swing, or when targets are lost, requests arrive faster than slots
// become free for some seconds. With first come, first served, each request would wait a
// little longer than the one before it, until all are late. Therefore requests that can still
// be on time go first, ordered by the time at which they must be sent. Requests that are
// already late get the remaining slots. Each request that is on time delays one that is late
// in any case.
//
// Batch items come after all online requests and are ordered in the same way: first those that
// can still meet their deadlines, by deadline, and then the others. The items of all instances
// share one queue. Otherwise an item with a near deadline could wait at one instance while
// another instance starts items that have a lot of time left.
type waitQueue struct {
	waiters []*Waiter
	// fair divides scarce slots among organisations, nil if that is turned off.
	fair *fairQueue
}

func (q *waitQueue) add(w *Waiter) { q.waiters = append(q.waiters, w) }

func (q *waitQueue) remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
}

func (q *waitQueue) len() int { return len(q.waiters) }

// The priority classes of waiters. classOverdue is a late online request that has to be served,
// since it can no longer be rejected in time, and that stops waiting soon.
const (
	classOverdue = iota - 1
	classOnTime
	classLate
	classItem
	classLateItem
)

// overdueLead is the time before a request stops waiting at which it goes before all others.
// Slots for the requests that were not rejected in time become free in a fraction of it.
const overdueLead = time.Second

// class returns the priority class of a waiter.
func (w *Waiter) class(now time.Time) int {
	late := now.After(w.sendBy)
	switch {
	case w.requirements.Batch && late:
		return classLateItem
	case w.requirements.Batch:
		return classItem
	case late && !w.waitBy.IsZero() && !w.mayReject(now) && w.waitBy.Sub(now) < overdueLead:
		return classOverdue
	case late:
		return classLate
	default:
		return classOnTime
	}
}

// mayReject reports whether the request may still be rejected.
func (w *Waiter) mayReject(now time.Time) bool {
	return !w.rejectBy.IsZero() && !now.After(w.rejectBy)
}

// sortKey orders waiters of the same class.
func (w *Waiter) sortKey(class int) int64 {
	switch {
	case w.requirements.Batch:
		return w.hold.Due
	case class == classOverdue:
		return w.waitBy.UnixNano()
	case class == classLate:
		return w.arrived.UnixNano()
	default:
		return w.sendBy.UnixNano()
	}
}

// sorted sorts the waiters into the order in which they are served, and returns them.
func (q *waitQueue) sorted(now time.Time) []*Waiter {
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		classA, classB := a.class(now), b.class(now)
		return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(a.sortKey(classA), b.sortKey(classB)))
	})
	return q.waiters
}

// place calls place for each waiter in order, until a service has no slot left, and removes
// those that got a slot. Batch items of a service are skipped while it is paused for them, even if
// slots are free.
func (q *waitQueue) place(now time.Time, batchPaused func(service string) bool, place func(*Waiter) bool) {
	full := map[string]bool{}
	kept := make([]*Waiter, 0, len(q.waiters))
	list := q.sorted(now)
	// A single request, which usually gets a free slot at once, needs no order.
	if q.fair != nil && len(list) > 1 {
		list = q.fair.order(now, list)
	}
	for _, w := range list {
		if full[w.requirements.Service] || w.requirements.Batch && batchPaused(w.requirements.Service) {
			kept = append(kept, w)
			continue
		}
		if place(w) {
			continue
		}
		// A waiter that excludes some targets, or needs certain software versions, may find no slot
		// although others can.
		full[w.requirements.Service] = w.start != startHeld && len(w.requirements.Exclude) == 0 && len(w.requirements.Versions) == 0
		kept = append(kept, w)
	}
	q.waiters = kept
}

// rejectUnservable removes and returns the requests that must be rejected. It must be called after
// place, which grants all free slots.
func (q *waitQueue) rejectUnservable(now time.Time) []*Waiter {
	if q.fair == nil || len(q.waiters) == 0 {
		return nil
	}
	if len(q.waiters) == 1 {
		q.fair.order(now, q.waiters)
	}
	rejected := q.fair.rejectUnservable(now, q.waiters)
	if len(rejected) > 0 {
		q.waiters = slices.DeleteFunc(q.waiters, func(w *Waiter) bool { return w.state.Rejected })
	}
	return rejected
}
