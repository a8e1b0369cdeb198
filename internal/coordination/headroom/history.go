package headroom

import "time"

// sample is a count and the time from which it applies.
type sample struct {
	at    time.Time
	count int
}

// historyLength is the maximum number of samples. It covers some seconds of a
// busy target.
const historyLength = 256

// history holds the recent values of a count, so that a report that lags can be
// compared with the count at the time for which the report is valid.
type history struct {
	samples []sample
}

// record adds a sample if the count has changed.
func (h *history) record(now time.Time, count int) {
	if n := len(h.samples); n > 0 && h.samples[n-1].count == count {
		return
	}
	if len(h.samples) >= historyLength {
		kept := copy(h.samples, h.samples[historyLength/2:])
		h.samples = h.samples[:kept]
	}
	h.samples = append(h.samples, sample{at: now, count: count})
}

// countAt returns the count at a given time. If the time is before the first
// sample, it returns the count of the first sample, or 0 if there is none.
func (h *history) countAt(at time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) {
			return h.samples[i].count
		}
	}
	if len(h.samples) > 0 {
		return h.samples[0].count
	}
	return 0
}
