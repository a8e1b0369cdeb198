package broker

import (
	"math"
	"time"
)

const (
	// horizonSamples is how far ahead slots are forecast. Items that need longer are decided by
	// this time.
	horizonSamples = 100
	// nearMargin is how many times the square root of the forecast demand stays free at once, and
	// nearMarginMemory the number of samples after which a third of that does. Random arrivals
	// differ from their mean by that much within a request's time, and an item that takes the last
	// slot would yield it to the next request. For later times the mean is used, since slots that
	// are not needed by then can still be given away.
	nearMargin       = 2.0
	nearMarginMemory = 10.0
	// minUsefulRun is the shortest time for which an item with time to wait is started that is expected to be
	// preempted. It reads its prompt and its output again and needs another connection, so that
	// shorter runs cost more preempted runs for the same work.
	minUsefulRun = 3 * time.Second
	// waitingPeriods is the laxity, as a multiple of the time after which demand repeats, below
	// which an item no longer waits for a slot that it can keep: it needs the next trough, and
	// time in the one after it in case it is preempted.
	waitingPeriods = 2
	// latestStartReserve is how long before its latest start an item is decided without forecast.
	// Items that were held until then need some time to get slots.
	latestStartReserve = 3 * time.Second
	// pressedPeriods is the laxity, as a multiple of the time after which demand repeats, of an
	// item that shows that there is more batch work than fits between the peaks.
	pressedPeriods = 0.8
	// fullUse is the share of the slots not used by online requests that batch items use on average
	// from which items start as before already at a laxity of fullPressedPeriods: what is kept free
	// then is soon missing. useWeight is the weight of a sample in that mean, about ten seconds.
	fullUse            = 0.75
	fullPressedPeriods = 1.25
	useWeight          = 1.0 / 100
	// learnHolds is how long items wait at a broker that begins to get requests. It learns within
	// reportInterval which slots are held, and until then counts them as free.
	learnHolds = reportInterval + grantTransit
	// idleTime is the time without requests after which a broker begins again.
	idleTime = time.Second
	// roomMaxAge is how long room is used.
	roomMaxAge = 20 * time.Millisecond
)

// startDecision is why a batch item may start or has to wait.

type startDecision string

const (
	// startAsBefore: no forecast applies.
	startAsBefore startDecision = ""
	// startFits: the slots that remain after the forecast suffice until the item ends.
	startFits startDecision = "fits"
	// startCheap: the item will be preempted, after a run that is worth it.
	startCheap startDecision = "cheap"
	// startLatest: the latest start of the item has come.
	startLatest startDecision = "latest_start"
	// startHeld: the item waits.
	startHeld startDecision = "held"
)

// troughs decides which batch items start while the demand of online requests is forecast. It
// handles demand that rises before an item that starts now would end.
type troughs struct {
	enabled bool
	// forecasts and rooms are by service.
	forecasts map[string]*demandForecast
	rooms     map[string]*room
	// sampleAt is when the next sample is due.
	sampleAt time.Time
	// asked is when a slot was last requested, and activeSince when that began.
	asked, activeSince time.Time
	// pressedUntil is the end of the time for which items start as before, by service.
	pressedUntil map[string]time.Time
	use          map[string]slotUse
}

// slotUse has moving means of the slots of a service that batch items hold, and of those that online
// requests do not.
type slotUse struct{ batch, room float64 }

// room is how many slots of a service are expected to be left for further items, for each sample
// of the horizon.
type room struct {
	at    time.Time
	slots [horizonSamples + 1]float64
}

// UseForecast makes a forecast of the demand of online requests decide which items start, and the
// item yield that loses least. Otherwise items start whenever a slot is free, and the item with the
// latest deadline yields.
func (a *SlotAllocator) UseForecast() {
	a.troughs = troughs{enabled: true, forecasts: map[string]*demandForecast{}, rooms: map[string]*room{}, pressedUntil: map[string]time.Time{}, use: map[string]slotUse{}}
	a.yieldsByCost, a.yieldWait = true, a.troughs.period
}

// observeDemand records the slots that online requests hold and wait for.
func (a *SlotAllocator) observeDemand(now time.Time) {
	if !a.troughs.enabled || now.Before(a.troughs.sampleAt) {
		return
	}
	a.troughs.sampleAt = now.Add(sampleInterval)
	demand, items := map[string]int{}, map[string]int{}
	for _, t := range a.targets {
		demand[t.Service] = 0
	}
	for _, h := range a.holds {
		if !h.Batch {
			demand[a.targets[h.Target].Service]++
		} else if !h.yielding {
			items[a.targets[h.Target].Service]++
		}
	}
	for _, w := range a.queue.waiters {
		if !w.requirements.Batch {
			demand[w.requirements.Service]++
		}
	}
	for service := range a.troughs.forecasts {
		if _, listed := demand[service]; !listed {
			delete(a.troughs.forecasts, service)
		}
	}
	for service, n := range demand {
		f := a.troughs.forecasts[service]
		if f == nil {
			f = &demandForecast{}
			a.troughs.forecasts[service] = f
		}
		f.observe(now, float64(n))
		all, _ := a.core.Slots(now, service)
		use := a.troughs.use[service]
		use.batch += useWeight * (float64(items[service]) - use.batch)
		use.room += useWeight * (float64(all-n) - use.room)
		a.troughs.use[service] = use
	}
}

// pressed reports whether all slots are needed for batch work: for the time of two repetitions
// after an item had to wait until it could wait for about one. Slots that are kept free in a
// trough can't be made up for, so items that wait would soon all be late.
func (t *troughs) pressed(now time.Time, w *Waiter, period time.Duration) bool {
	laxity, periods := w.sendBy.Sub(now), pressedPeriods
	if use := t.use[w.requirements.Service]; use.batch > fullUse*use.room {
		periods = fullPressedPeriods
	}
	if laxity > 0 && laxity < time.Duration(periods*float64(period)) {
		t.pressedUntil[w.requirements.Service] = now.Add(2 * period)
	}
	return now.Before(t.pressedUntil[w.requirements.Service])
}

// requested records that a slot was requested.
func (t *troughs) requested(now time.Time) {
	if now.Sub(t.asked) > idleTime {
		t.activeSince = now
	}
	t.asked = now
}

// currentRoom returns the room of a service.
func (a *SlotAllocator) currentRoom(now time.Time, service string, f *demandForecast) *room {
	r := a.troughs.rooms[service]
	if r == nil || now.Sub(r.at) >= roomMaxAge {
		r = a.room(now, service, f)
		a.troughs.rooms[service] = r
	}
	return r
}

func (a *SlotAllocator) room(now time.Time, service string, f *demandForecast) *room {
	r := &room{at: now}
	all, _ := a.core.Slots(now, service)
	// ending is the number of running items by the sample after which they end.
	var ending [horizonSamples + 2]int
	for _, h := range a.holds {
		if h.Batch && !h.yielding && a.targets[h.Target].Service == service {
			ending[min(horizonSamples+1, samplesOf(h.remaining(now)))]++
		}
	}
	running := ending[horizonSamples+1]
	for i := horizonSamples; i >= 0; i-- {
		running += ending[i]
		need := f.after(i)
		margin := nearMargin * math.Exp(-float64(i)/nearMarginMemory) * math.Sqrt(need)
		r.slots[i] = float64(all) - need - margin - float64(running)
	}
	return r
}

// fits returns the number of samples for which one more item has a slot, up to the given one.
func (r *room) fits(samples int) int {
	n := 0
	for n <= samples && r.slots[n] >= 1 {
		n++
	}
	return n
}

// take counts an item that starts.
func (r *room) take(samples int) {
	for i := range samples + 1 {
		r.slots[i]--
	}
}

// samplesOf returns the number of samples until a time has passed.
func samplesOf(d time.Duration) int {
	return max(0, int(math.Ceil(float64(d)/float64(sampleInterval))))
}

// period returns the time after which the demand of a service repeats, 0 if it is not known.
func (t *troughs) period(service string) time.Duration {
	if f := t.forecasts[service]; f != nil && f.known() {
		return f.period()
	}
	return 0
}

// mayStart reports whether a batch item may take a free slot, and records why.
func (a *SlotAllocator) mayStart(now time.Time, w *Waiter) bool {
	w.start = startAsBefore
	if a.troughs.enabled && now.Sub(a.troughs.activeSince) < learnHolds && w.sendBy.Sub(now) > latestStartReserve {
		w.start = startHeld
		return false
	}
	f := a.troughs.forecasts[w.requirements.Service]
	if f == nil || w.hold.Needs <= 0 || !f.known() {
		return true
	}
	if _, free := a.core.Slots(now, w.requirements.Service); free == 0 {
		return true
	}
	if a.troughs.pressed(now, w, f.period()) {
		return true
	}
	r := a.currentRoom(now, w.requirements.Service, f)
	needs := min(horizonSamples, samplesOf(w.hold.Needs))
	w.start = decideStart(r.fits(needs), needs, w.sendBy.Sub(now), f.period())
	if w.start == startHeld {
		return false
	}
	r.take(needs)
	return true
}

// decideStart decides whether an item starts that has a slot for fits samples, needs one for needs
// samples, and meets its deadline if it waits no longer than laxity.
func decideStart(fits, needs int, laxity, period time.Duration) startDecision {
	longestWait := time.Duration(waitingPeriods * float64(period))
	switch {
	case fits > needs:
		return startFits
	case laxity <= latestStartReserve:
		return startLatest
	case laxity < longestWait && time.Duration(fits)*sampleInterval >= usefulRun(laxity, longestWait):
		return startCheap
	default:
		return startHeld
	}
}

// usefulRun returns the shortest run for which an item starts that will be preempted. It falls
// with the laxity: while there is more batch work than fits between peaks, items that wait for a
// long run would all miss their latest start.
func usefulRun(laxity, longestWait time.Duration) time.Duration {
	free := longestWait / 2
	if laxity <= free {
		return 0
	}
	return min(minUsefulRun, time.Duration(float64(minUsefulRun)*float64(laxity-free)/float64(longestWait-free)))
}

// ForecastHold says why a batch item got no slot although one was free. It is zero if no item was
// held.
type ForecastHold struct {
	// Demand is the number of slots that online requests needed last, and Expected the largest
	// number until the item would have ended. Room is the number of slots left for it then.
	Demand, Expected, Room int
	// Period is the time after which demand repeats, Percent the confidence in the forecast.
	Period  time.Duration
	Percent int
	// Needs is how long the item still needs, and Laxity how long it could wait.
	Needs, Laxity time.Duration
}

// held returns why a waiter waits for the forecast.
func (a *SlotAllocator) held(now time.Time, w *Waiter) (h ForecastHold) {
	f := a.troughs.forecasts[w.requirements.Service]
	if w.start != startHeld || f == nil || !f.known() {
		return h
	}
	r := a.currentRoom(now, w.requirements.Service, f)
	least := r.slots[0]
	for i := range min(horizonSamples, samplesOf(w.hold.Needs)) + 1 {
		h.Expected = max(h.Expected, int(math.Round(f.after(i))))
		least = min(least, r.slots[i])
	}
	h.Demand, h.Room = int(f.at(f.count-1)), int(math.Floor(least))
	h.Period, h.Percent = f.period(), int(math.Round(100*f.confidence()))
	h.Needs, h.Laxity = w.hold.Needs, w.sendBy.Sub(now)
	return h
}
