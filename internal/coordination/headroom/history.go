package headroom

import "time"

// sample is a count at a time.
type sample struct {
	at    time.Time
	count int
}

// historyLength bounds the remembered counts: some seconds of a busy target.
const historyLength = 256

// history remembers a count that changes, so that a report that lags can be
// compared with what was known at its time.
type history struct {
	samples []sample
}

// note adds a count if it changed.
func (h *history) note(now time.Time, count int) {
	if n := len(h.samples); n > 0 && h.samples[n-1].count == count {
		return
	}
	if len(h.samples) >= historyLength {
		kept := copy(h.samples, h.samples[historyLength/2:])
		h.samples = h.samples[:kept]
	}
	h.samples = append(h.samples, sample{at: now, count: count})
}

// at is the count as of a time; before the first sample it is the first one.
func (h *history) at(when time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(when) {
			return h.samples[i].count
		}
	}
	if len(h.samples) > 0 {
		return h.samples[0].count
	}
	return 0
}
