package broker

import "time"

// minFreedHold is the shortest hold whose end counts as a freed slot. Requests to targets that are
// replaced, full or unreachable end within a few milliseconds and return a slot that was free before,
// as do cancelled reservations. If they counted, brokers would expect more slots than become free and
// accept requests that cannot get one in time. 30 ms is half of the usual time to the first byte, and
// less than the fastest targets (0.6 of the mean time) need.
const minFreedHold = 30 * time.Millisecond

// EnableFairQueue divides scarce slots among organisations by weight, and rejects requests that
// cannot get a slot in time.
func (a *SlotAllocator) EnableFairQueue() { a.queue.fair = newFairQueue() }

// setFairFields sets the fields of a waiter that fair queueing uses.
func (a *SlotAllocator) setFairFields(now time.Time, w *Waiter, req *PlaceRequest) {
	if a.queue.fair == nil || w.requirements.Batch {
		return
	}
	w.waitsSince = now
	w.organisation, w.weight = req.Organisation, req.Weight
	if w.weight <= 0 {
		w.weight = a.queue.fair.meanWeight()
	} else {
		a.queue.fair.observeWeight(w.weight)
	}
	if req.WaitIn > 0 {
		w.waitBy = now.Add(req.WaitIn)
	}
	if req.RejectIn > 0 && req.WaitIn > 0 {
		w.rejectBy = now.Add(req.RejectIn)
	}
	// A request waits several times, for onlineWait each. Brokers that it only asks for a free
	// slot count it if they grant one.
	if req.Wait > 0 {
		w.counted = !req.FirstWait && req.Age >= onlineWait
		if req.FirstWait {
			w.waitsSince = w.arrived
		}
		a.queue.fair.arrived(now, w)
	}
}

// ApplyReport applies an instance's report of its holds, and counts the slots of online requests
// that it frees after minFreedHold or later.
func (a *SlotAllocator) ApplyReport(now time.Time, report HoldReport) {
	if a.queue.fair != nil {
		for _, number := range report.Released {
			if h := a.holds[holdKey{report.Instance, number}]; h != nil && !h.Batch && now.Sub(h.since) >= minFreedHold {
				a.queue.fair.service(a.targets[h.Target].Service).freed.add(now, 1)
			}
		}
	}
	a.HoldTable.ApplyReport(now, report)
}

// RejectUnservable removes and returns the online requests that cannot get a slot before they stop
// waiting. It must be called after Allocate, so that none is rejected while a slot that it may
// use is free.
func (a *SlotAllocator) RejectUnservable(now time.Time) []*Waiter {
	return a.queue.rejectUnservable(now)
}
