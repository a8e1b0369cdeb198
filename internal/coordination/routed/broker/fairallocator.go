package broker

import "time"

// EnableFairQueue divides scarce slots among organisations by weight, and rejects requests that
// cannot get a slot in time.
func (a *SlotAllocator) EnableFairQueue() { a.queue.fair = newFairQueue() }

// setFairFields sets the fields of a waiter that fair queueing uses.
func (a *SlotAllocator) setFairFields(now time.Time, w *Waiter, req *PlaceRequest) {
	if a.queue.fair == nil || w.requirements.Batch {
		return
	}
	w.queuedAt = now
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
		w.counted = req.Age >= onlineWait
		a.queue.fair.arrived(now, w)
	}
}

// ApplyReport applies an instance's report of its holds, and counts the slots of online requests
// that it frees.
func (a *SlotAllocator) ApplyReport(now time.Time, report HoldReport) {
	if a.queue.fair != nil {
		for _, number := range report.Released {
			if h := a.holds[holdKey{report.Instance, number}]; h != nil && !h.Batch {
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
