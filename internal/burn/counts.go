package burn

import "time"

// Count holds the number of calls that met an objective (Good) and that did not (Bad).
type Count struct {
	Good uint32
	Bad  uint32
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// Counts holds a Count for each signal.
type Counts [signalCount]Count

func (c *Counts) add(other Counts) {
	for i := range c {
		c[i].add(other[i])
	}
}

// countRing is a ring buffer of counts over time spans of equal length.
type countRing struct {
	span  time.Duration
	slots []Counts
	// newest is the number of the newest span, counted from the Unix epoch.
	newest int64
}

func newCountRing(span time.Duration, slots int) countRing {
	return countRing{span: span, slots: make([]Counts, slots)}
}

// slotAt returns the slot for a point in time. It clears the slots of the spans since the
// newest one, which still hold counts from the previous cycle of the ring.
func (r *countRing) slotAt(now time.Time) *Counts {
	number := now.UnixNano() / int64(r.span)
	if number > r.newest {
		first := max(r.newest+1, number-int64(len(r.slots))+1)
		for n := first; n <= number; n++ {
			r.slots[n%int64(len(r.slots))] = Counts{}
		}
		r.newest = number
	}
	// If the clock was set back, calls count in the newest span.
	return &r.slots[r.newest%int64(len(r.slots))]
}

// sum returns the sum of the newest slots.
func (r *countRing) sum(now time.Time, slots int) Counts {
	r.slotAt(now)
	var total Counts
	for i := range slots {
		n := r.newest - int64(i)
		if n >= 0 {
			total.add(r.slots[n%int64(len(r.slots))])
		}
	}
	return total
}

// The rings of a series. Longer windows use longer spans, so that a series needs 34 slots
// and not 720. The length of a window is accurate to one span.
const (
	fineSpan, fineSlots     = 30 * time.Second, 10
	middleSpan, middleSlots = 5 * time.Minute, 12
	coarseSpan, coarseSlots = 30 * time.Minute, 12
	halfHourSlots           = 6
)

// windows holds the counts of one series for all windows.
type windows struct {
	fine, middle, coarse countRing
}

func newWindows() windows {
	return windows{
		fine:   newCountRing(fineSpan, fineSlots),
		middle: newCountRing(middleSpan, middleSlots),
		coarse: newCountRing(coarseSpan, coarseSlots),
	}
}

func (w *windows) add(now time.Time, signal Signal, count Count) {
	w.fine.slotAt(now)[signal].add(count)
	w.middle.slotAt(now)[signal].add(count)
	w.coarse.slotAt(now)[signal].add(count)
}

func (w *windows) sums(now time.Time) [windowCount]Counts {
	return [windowCount]Counts{
		FiveMinutes: w.fine.sum(now, fineSlots),
		HalfHour:    w.middle.sum(now, halfHourSlots),
		Hour:        w.middle.sum(now, middleSlots),
		SixHours:    w.coarse.sum(now, coarseSlots),
	}
}
