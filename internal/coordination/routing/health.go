package routing

import "time"

// health ejects a target that fails or is much slower than its pool.
//
// What goes wrong without it: a target that accepts connections and answers
// late or never holds few finished calls and so looks idle; power of two
// choices would send it more and more. Callers notice timeouts on a fixed part
// of their calls.
type health struct {
	failures int
	// ejections counts the ejections in a row, to double their length.
	ejections int
	until     time.Time
	// firstByte is the moving mean of the time to the first byte in seconds.
	firstByte float64
	samples   int
}

// meanStep is the part that a new sample has in the moving means.
const meanStep = 0.2

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.until)
}

// good notes a whole answer.
func (h *health) good(firstByte time.Duration) {
	h.failures = 0
	if firstByte <= 0 {
		return
	}
	h.samples++
	if h.samples == 1 {
		h.firstByte = firstByte.Seconds()
		return
	}
	h.firstByte += meanStep * (firstByte.Seconds() - h.firstByte)
}

// bad notes a failure and reports whether the target should be ejected. After
// an ejection one more failure is enough.
func (h *health) bad(o *Options) bool {
	h.failures++
	if h.ejections > 0 {
		return true
	}
	return h.failures >= o.FailuresToEject
}

// slow reports whether the target is much slower than its pool.
func (h *health) slow(poolMean float64, o *Options) bool {
	if h.samples < o.SlowSamples || h.firstByte < o.SlowFloor.Seconds() {
		return false
	}
	return h.firstByte > o.SlowFactor*poolMean
}

// eject takes the target out of use. Its samples start anew, so that it is
// judged by what it does after its return.
func (h *health) eject(now time.Time, o *Options) {
	length := o.InitialEjection << min(h.ejections, 10)
	h.until = now.Add(min(length, o.MaxEjection))
	h.ejections++
	h.failures = 0
	h.samples = 0
}

// recovered forgets the past ejections once the target has proved itself.
func (h *health) recovered(o *Options) {
	if h.samples >= o.SlowSamples {
		h.ejections = 0
	}
}
