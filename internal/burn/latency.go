package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms count tenths of a millisecond up to ten minutes, to one
// significant digit (steps of a sixteenth). Whether a call was good is counted
// exactly; the histograms only show where the rest lies.
const (
	latencyUnit    = 100 * time.Microsecond
	latencyMost    = int64(10 * time.Minute / latencyUnit)
	latencyDigits  = 1
	latencySignals = 2 // FirstToken and BetweenTokens
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMost, latencyDigits)
}

// latency keeps a histogram for each signal over the last one to two hours, in
// two generations of an hour.
type latency struct {
	hour     int64
	current  [latencySignals]*hdrhistogram.Histogram
	previous [latencySignals]*hdrhistogram.Histogram
}

func (l *latency) turn(now time.Time) {
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
	l.turn(now)
	if l.current[signal] == nil {
		l.current[signal] = newHistogram()
	}
	units := min(max(int64(took/latencyUnit), 1), latencyMost)
	// The value is within the histogram's bounds.
	_ = l.current[signal].RecordValue(units)
}

// merged gives both generations of a signal, nil if there are none.
func (l *latency) merged(now time.Time, signal Signal) *hdrhistogram.Histogram {
	l.turn(now)
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
