package quota

import "time"

const (
	// sampleInterval and sampleCount together cover the longest time for which an instance
	// may be silent without being noticed, which is that of a large fleet.
	sampleInterval = 100 * time.Millisecond
	sampleCount    = 16
)

// sample is the level of a bucket at some time.
type sample struct {
	at    time.Time
	level float64
}

// history has the latest samples of a bucket's level, the newest one last.
type history [sampleCount]sample

func (h *history) add(now time.Time, level float64) {
	if now.Sub(h[sampleCount-1].at) < sampleInterval {
		return
	}
	copy(h[:], h[1:])
	h[sampleCount-1] = sample{at: now, level: level}
}

// at returns the level at a given time, from the last sample that is not later.
func (h *history) at(t time.Time) float64 {
	level := h[0].level
	for _, s := range h {
		if !s.at.After(t) {
			level = s.level
		}
	}
	return level
}
