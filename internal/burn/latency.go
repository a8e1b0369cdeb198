package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms have a unit of a tenth of a millisecond, a maximum of ten minutes and one
// significant digit (steps of a sixteenth). Good and bad calls are counted exactly; the
// histograms only show the distribution of the latencies.
const (
	latencyUnit     = 100 * time.Microsecond
	latencyMaxUnits = int64(10 * time.Minute / latencyUnit)
	latencyDigits   = 1
	latencySignals  = 2 // FirstToken and BetweenTokens
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMaxUnits, latencyDigits)
}

// latency holds a histogram for each signal over the last one to two hours: one for the
// current hour and one for the previous hour.
type latency struct {
	hour     int64
	current  [latencySignals]*hdrhistogram.Histogram
	previous [latencySignals]*hdrhistogram.Histogram
}

// rotate starts new histograms if a new hour has begun.
func (l *latency) rotate(now time.Time) {
	hour := now.UnixNano() / int64(time.Hour)
	switch {
	case hour <= l.hour:
		return
	case hour == l.hour+1:
		l.previous = l.current
	default:
		l.previous = [latencySignals]*hdrhistogram.Histogram{}
	}
	l.current = [latencySignals]*hdrhistogram.Histogram{}
	l.hour = hour
}

func (l *latency) add(now time.Time, signal Signal, took time.Duration) {
	l.rotate(now)
	if l.current[signal] == nil {
		l.current[signal] = newHistogram()
	}
	units := min(max(int64(took/latencyUnit), 1), latencyMaxUnits)
	// RecordValue cannot fail, because the value is within the histogram's bounds.
	_ = l.current[signal].RecordValue(units)
}

// merged returns a copy of the merged histograms of both hours for a signal, nil if there
// are none.
func (l *latency) merged(now time.Time, signal Signal) *hdrhistogram.Histogram {
	l.rotate(now)
	var out *hdrhistogram.Histogram
	for _, h := range []*hdrhistogram.Histogram{l.current[signal], l.previous[signal]} {
		if h == nil {
			continue
		}
		if out == nil {
			out = newHistogram()
		}
		out.Merge(h)
	}
	return out
}
