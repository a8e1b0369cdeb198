package broker

import (
	"math"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// PauseAfterYield is how long no batch item gets a slot after an item had to yield.
//
// At a peak, a slot becomes free every few milliseconds, and an online request needs it a few
// milliseconds later. An item that gets the slot in between would have to yield it before the
// prefill of its prompt is done, and needs a new connection each time.
const PauseAfterYield = 80 * time.Millisecond

// ReserveAfterYield is how long batch items leave some slots free after an item had to yield.
// The number of these slots is reserveFactor times the square root of the number of slots of
// the service in the domain, since the fluctuations of randomly arriving requests grow with
// the square root of their number.
//
// Near a peak nearly all slots are taken, and an item that gets the last one has to yield it
// to one of the next requests. Leaving some slots free for this time saves a third of the runs
// of items, and as many items finish in time.
const (
	ReserveAfterYield = 1500 * time.Millisecond
	reserveFactor     = 0.4
)

// SlotAllocator decides which request or batch item gets which slot of one failure domain. It
// is pure: inputs and the time are arguments, allocations are results. It is not safe for
// concurrent use.
type SlotAllocator struct {
	*HoldTable
	queue waitQueue
	// PauseAfterYield is how long no batch item gets a slot after an item had to yield.
	PauseAfterYield time.Duration
	// ReserveAfterYield is how long batch items leave some slots free after an item had to
	// yield.
	ReserveAfterYield time.Duration
	// lastYield is when an item of a service last had to yield.
	lastYield map[string]time.Time
	// troughs decides which items start, by the forecast of demand.
	troughs troughs
}

// Allocation is a slot granted to a waiting request or batch item.
type Allocation struct {
	Waiter *Waiter
	Grant  Grant
	// Yield is the hold of a batch item that must yield its slot for this allocation. It is
	// valid only if MustYield is set.
	Yield     Yield
	MustYield bool
}

// Yield identifies a hold that an instance must give back.
type Yield struct {
	Instance string
	Number   uint64
}

// NewSlotAllocator returns an allocator of the targets of a core.
func NewSlotAllocator(core *placement.Core) *SlotAllocator {
	return &SlotAllocator{HoldTable: NewHoldTable(core), PauseAfterYield: PauseAfterYield, ReserveAfterYield: ReserveAfterYield, lastYield: map[string]time.Time{}}
}

// Enqueue adds a request to the queue. Allocate grants its slot.
func (a *SlotAllocator) Enqueue(now time.Time, req *PlaceRequest) *Waiter {
	w := &Waiter{
		instance: req.Instance, hold: Hold{Number: req.Number, Due: req.Due, Lasts: req.Lasts, Needs: req.Needs, Laxity: req.OnTimeIn, Unstored: req.Unstored}, requirements: req.Want,
		sendBy: now.Add(req.OnTimeIn), arrived: now.Add(-req.Age),
	}
	a.setFairFields(now, w, req)
	a.ApplyReport(now, req.Told)
	a.queue.add(w)
	a.troughs.requested(now)
	return w
}

// Dequeue removes a waiter from the queue.
func (a *SlotAllocator) Dequeue(w *Waiter) { a.queue.remove(w) }

// Waiting returns the number of waiters in the queue.
func (a *SlotAllocator) Waiting() int { return a.queue.len() }

// Allocate grants free slots to waiters.
func (a *SlotAllocator) Allocate(now time.Time) []Allocation {
	a.observeDemand(now)
	if a.queue.len() == 0 {
		return nil
	}
	var out []Allocation
	paused := func(service string) bool { return a.batchPaused(now, service) }
	a.queue.place(now, paused, func(w *Waiter) bool {
		if w.requirements.Batch && a.freeSlotsReserved(now, w.requirements.Service) {
			return false
		}
		if w.requirements.Batch && !a.mayStart(now, w) {
			return false
		}
		grant, yielding, ok := a.Place(now, w.instance, w.hold, w.requirements)
		if !ok {
			return false
		}
		if a.queue.fair != nil {
			a.queue.fair.granted(now, w)
		}
		allocation := Allocation{Waiter: w, Grant: grant}
		if yielding != nil {
			a.lastYield[w.requirements.Service] = now
			allocation.Yield, allocation.MustYield = Yield{Instance: yielding.instance, Number: yielding.Number}, true
		}
		out = append(out, allocation)
		return true
	})
	return out
}

// batchPaused reports whether no batch item of a service gets a slot now, since one had to yield.
func (a *SlotAllocator) batchPaused(now time.Time, service string) bool {
	return now.Sub(a.lastYield[service]) < a.PauseAfterYield
}

// freeSlotsReserved reports whether the free slots of a service are reserved for online
// requests.
func (a *SlotAllocator) freeSlotsReserved(now time.Time, service string) bool {
	if now.Sub(a.lastYield[service]) >= a.ReserveAfterYield {
		return false
	}
	all, free := a.core.Slots(now, service)
	return free <= int(math.Round(reserveFactor*math.Sqrt(float64(all))))
}

// SetDomainTargets replaces the targets by those of the list that are in a failure domain.
func (a *SlotAllocator) SetDomainTargets(domain string, list []roster.Target) {
	var own []roster.Target
	for _, t := range list {
		if t.Domain == domain {
			own = append(own, t)
		}
	}
	a.SetTargets(own)
}
