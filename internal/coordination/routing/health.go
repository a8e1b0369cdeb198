package routing

import "time"

// health tracks the failures and the time to the first byte of a target, to
// eject a target that fails or is much slower than its pool.
//
// A target that accepts connections but answers late or never can look idle,
// because it finishes few calls. Without ejection, power of two choices would
// send more and more calls to it, and a constant share of all calls would time
// out.
type health struct {
	// failures is the number of consecutive failures.
	failures int
	// ejections is the number of consecutive ejections. Each one doubles the
	// duration of the next.
	ejections    int
	ejectedUntil time.Time
	// firstByte is the moving mean of the time to the first byte in seconds.
	firstByte float64
	// samples is the number of times to the first byte since the last
	// ejection.
	samples int
}

// sampleWeight is the weight of a new sample in the moving mean.
const sampleWeight = 0.2

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// recordSuccess records a complete answer. A firstByte of 0 means that the time
// to the first byte is not known.
func (h *health) recordSuccess(firstByte time.Duration) {
	h.failures = 0
	if firstByte <= 0 {
		return
	}
	h.samples++
	if h.samples == 1 {
		h.firstByte = firstByte.Seconds()
		return
	}
	h.firstByte += sampleWeight * (firstByte.Seconds() - h.firstByte)
}

// recordFailure records a failure and reports whether the target should be
// ejected. After an ejection, a single further failure is enough.
func (h *health) recordFailure(o *Options) bool {
	h.failures++
	if h.ejections > 0 {
		return true
	}
	return h.failures >= o.FailuresToEject
}

// isSlow reports whether the target is much slower than its pool. poolMean is
// the mean time to the first byte of the other targets in seconds.
func (h *health) isSlow(poolMean float64, o *Options) bool {
	if h.samples < o.SlowMinSamples || h.firstByte < o.SlowMinFirstByte.Seconds() {
		return false
	}
	return h.firstByte > o.SlowFactor*poolMean
}

// eject takes the target out of use. It resets the samples, so that later
// decisions use only answers from after the ejection.
func (h *health) eject(now time.Time, o *Options) {
	duration := o.InitialEjection << min(h.ejections, 10)
	h.ejectedUntil = now.Add(min(duration, o.MaxEjection))
	h.ejections++
	h.failures = 0
	h.samples = 0
}

// resetEjections resets the number of consecutive ejections once the target has
// answered SlowMinSamples calls since the last one.
func (h *health) resetEjections(o *Options) {
	if h.samples >= o.SlowMinSamples {
		h.ejections = 0
	}
}
