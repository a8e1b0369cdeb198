package quota

import "time"

// mark is what an instance had let in at a moment.
type mark struct {
	at  time.Time
	own int64
}

const (
	// markEvery and marksKept cover the longest silence that is not noticed yet, that
	// of a large fleet.
	markEvery = 250 * time.Millisecond
	marksKept = 8
)

// mark notes what was let in so far.
func (a *account) mark(now time.Time) {
	if now.Sub(a.marks[marksKept-1].at) < markEvery {
		return
	}
	copy(a.marks[:], a.marks[1:])
	a.marks[marksKept-1] = mark{at: now, own: a.own}
}

// since gives what was let in since a moment, or a little more.
func (a *account) since(t time.Time) float64 {
	from := a.marks[0]
	for _, m := range a.marks {
		if !m.at.After(t) {
			from = m
		}
	}
	return max(0, float64(a.own-from.own))
}
