package quota

import "time"

// mark is what a total was at a moment.
type mark struct {
	at    time.Time
	total float64
}

const (
	// markEvery and marksKept cover the longest silence that is not noticed yet, that
	// of a large fleet.
	markEvery = 250 * time.Millisecond
	marksKept = 8
)

// history keeps what a growing total was at some moments, the last one at the end.
type history [marksKept]mark

func (h *history) note(now time.Time, total float64) {
	if now.Sub(h[marksKept-1].at) < markEvery {
		return
	}
	copy(h[:], h[1:])
	h[marksKept-1] = mark{at: now, total: total}
}

// mostSince gives how much a total has grown since a moment, or a little more.
func (h *history) mostSince(t time.Time, total float64) float64 {
	from := h[0]
	for _, m := range h {
		if !m.at.After(t) {
			from = m
		}
	}
	return max(0, total-from.total)
}

// leastSince gives the same, or a little less.
func (h *history) leastSince(t time.Time, total float64) float64 {
	for _, m := range h {
		if !m.at.Before(t) {
			return total - m.total
		}
	}
	return 0
}
