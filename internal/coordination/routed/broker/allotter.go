package broker

import (
	"math"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// PauseAfterYield is how long after an item had to give way no further item gets a slot.
//
// The load it answers: at a peak a slot comes free every few milliseconds and is
// wanted by an online request a few milliseconds later. Given to an item in
// between, it is taken back before the item has read its prompt again, and the
// item needs a new connection each time.
const PauseAfterYield = 80 * time.Millisecond

// ReserveAfterYield is how long after an item had to give way items leave slots free, and
// spareFactor how many: that times the square root of the domain's slots of a service, since
// the swings of requests that come at random grow with the square root of their number.
//
// The load it answers: near a peak nearly all slots are taken, and an item that gets
// the last one is taken back by one of the next requests. Some slots left free for a
// while save a third of the runs of items; as many are done in time.
const (
	ReserveAfterYield = 1500 * time.Millisecond
	spareFactor       = 0.4
)

// SlotAllocator decides which request or item gets which slot of one failure domain. It
// is pure: inputs and the time come in, allotments go out. It is not safe for
// concurrent use.
type SlotAllocator struct {
	*Book
	queue waitQueue
	// PauseAfterYield is the pause of items after one had to give way.
	PauseAfterYield time.Duration
	// ReserveAfterYield is how long after one gave way items leave some slots free.
	ReserveAfterYield time.Duration
	// yieldedAt is when one had to give way last.
	yieldedAt time.Time
}

// Allocation is a slot for one who waited.
type Allocation struct {
	Waiter *Waiter
	Grant  Grant
	// Yield is the hold of a batch item that must give its slot back for it, if
	// Yields says that there is one.
	Yield     Yield
	MustYield bool
}

// Yield names the hold that an instance is to give back.
type Yield struct {
	Instance string
	Number   uint64
}

// NewSlotAllocator returns an allotter of the targets that a core knows.
func NewSlotAllocator(core *placement.Core) *SlotAllocator {
	return &SlotAllocator{Book: NewBook(core), PauseAfterYield: PauseAfterYield, ReserveAfterYield: ReserveAfterYield}
}

// Enqueue puts an ask into the line. Allot says what becomes of it.
func (a *SlotAllocator) Enqueue(now time.Time, ask *PlaceRequest) *Waiter {
	w := &Waiter{
		instance: ask.Instance, hold: Hold{Number: ask.Number, Due: ask.Due, Lasts: ask.Lasts}, want: ask.Want,
		onTimeUntil: now.Add(ask.OnTimeIn), arrived: now.Add(-ask.Age),
	}
	a.ApplyReport(now, ask.Told)
	a.queue.add(w)
	return w
}

// Dequeue takes one who waits out of the line.
func (a *SlotAllocator) Dequeue(w *Waiter) { a.queue.remove(w) }

// Waiting counts those who wait.
func (a *SlotAllocator) Waiting() int { return a.queue.len() }

// Allocate gives slots to those who wait, as far as there are any.
func (a *SlotAllocator) Allocate(now time.Time) []Allocation {
	if a.queue.len() == 0 {
		return nil
	}
	var out []Allocation
	itemsWait := now.Sub(a.yieldedAt) < a.PauseAfterYield
	a.queue.place(now, itemsWait, func(w *Waiter) bool {
		if w.want.Batch && a.spared(now, w.want.Service) {
			return false
		}
		grant, yields, ok := a.Place(now, w.instance, w.hold, w.want)
		if !ok {
			return false
		}
		allotment := Allocation{Waiter: w, Grant: grant}
		if yields != nil {
			a.yieldedAt = now
			allotment.Yield, allotment.MustYield = Yield{Instance: yields.instance, Number: yields.Number}, true
		}
		out = append(out, allotment)
		return true
	})
	return out
}

// spared says that the slots of a service that are free now are left to requests.
func (a *SlotAllocator) spared(now time.Time, service string) bool {
	if now.Sub(a.yieldedAt) >= a.ReserveAfterYield {
		return false
	}
	all, free := a.core.Slots(now, service)
	return free <= int(math.Round(spareFactor*math.Sqrt(float64(all))))
}

// SetDomainTargets takes over those of the targets that are in a failure domain.
func (a *SlotAllocator) SetDomainTargets(domain string, list []roster.Target) {
	var own []roster.Target
	for _, t := range list {
		if t.Domain == domain {
			own = append(own, t)
		}
	}
	a.SetTargets(own)
}
