package burn

import "time"

// Count holds how many calls met an objective and how many did not.
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

// tier is a ring of counts over equal spans of time.
type tier struct {
	span  time.Duration
	slots []Counts
	// head is the number of the span that was written last.
	head int64
}

func newTier(span time.Duration, slots int) tier {
	return tier{span: span, slots: make([]Counts, slots)}
}

// at gives the slot of a point in time and clears the slots in between, which
// hold counts of one turn of the ring before.
func (t *tier) at(now time.Time) *Counts {
	number := now.UnixNano() / int64(t.span)
	if number > t.head {
		first := max(t.head+1, number-int64(len(t.slots))+1)
		for n := first; n <= number; n++ {
			t.slots[n%int64(len(t.slots))] = Counts{}
		}
		t.head = number
	}
	// A clock that was set back counts into the newest span.
	return &t.slots[t.head%int64(len(t.slots))]
}

// sum adds up the newest slots.
func (t *tier) sum(now time.Time, slots int) Counts {
	t.at(now)
	var total Counts
	for i := range slots {
		n := t.head - int64(i)
		if n >= 0 {
			total.add(t.slots[n%int64(len(t.slots))])
		}
	}
	return total
}

// The tiers of a series. Coarser spans serve longer windows, so that a series
// costs 34 slots and not 720. A window is exact to one span.
const (
	fineSpan, fineSlots     = 30 * time.Second, 10
	middleSpan, middleSlots = 5 * time.Minute, 12
	coarseSpan, coarseSlots = 30 * time.Minute, 12
	halfHourSlots           = 6
)

// windows counts one series over all windows.
type windows struct {
	fine, middle, coarse tier
}

func newWindows() windows {
	return windows{
		fine:   newTier(fineSpan, fineSlots),
		middle: newTier(middleSpan, middleSlots),
		coarse: newTier(coarseSpan, coarseSlots),
	}
}

func (w *windows) add(now time.Time, signal Signal, count Count) {
	w.fine.at(now)[signal].add(count)
	w.middle.at(now)[signal].add(count)
	w.coarse.at(now)[signal].add(count)
}

func (w *windows) sums(now time.Time) [windowCount]Counts {
	return [windowCount]Counts{
		FiveMinutes: w.fine.sum(now, fineSlots),
		HalfHour:    w.middle.sum(now, halfHourSlots),
		Hour:        w.middle.sum(now, middleSlots),
		SixHours:    w.coarse.sum(now, coarseSlots),
	}
}
