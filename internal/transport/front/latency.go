package front

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulingLatencies is the runtime's histogram of the times for which goroutines were runnable
// before they ran. A timer shows no such wait: the goroutine that it wakes goes before the others.
const schedulingLatencies = "/sched/latencies:seconds"

// latencyReader reads how long goroutines have waited for the processor since the last reading.
type latencyReader struct {
	sample   []metrics.Sample
	previous []uint64
}

func newLatencyReader() latencyReader {
	return latencyReader{sample: []metrics.Sample{{Name: schedulingLatencies}}}
}

// median returns the median wait since the last call, 0 if there were few or the first time.
func (r *latencyReader) median() time.Duration {
	metrics.Read(r.sample)
	if r.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := r.sample[0].Value.Float64Histogram()
	if r.previous == nil {
		r.previous = make([]uint64, len(histogram.Counts))
		copy(r.previous, histogram.Counts)
		return 0
	}
	median := medianOf(histogram, r.previous)
	copy(r.previous, histogram.Counts)
	return median
}

// medianOf returns the median of what was added to a histogram since some earlier counts.
func medianOf(histogram *metrics.Float64Histogram, earlier []uint64) time.Duration {
	var total, passed uint64
	for i, count := range histogram.Counts {
		total += count - earlier[i]
	}
	if total < minLagSamples {
		return 0
	}
	for i, count := range histogram.Counts {
		passed += count - earlier[i]
		if 2*passed >= total {
			return bucketStart(histogram, i)
		}
	}
	return 0
}

// bucketStart returns the lower end of a bucket.
func bucketStart(histogram *metrics.Float64Histogram, bucket int) time.Duration {
	start := histogram.Buckets[bucket]
	if math.IsInf(start, -1) {
		return 0
	}
	return time.Duration(start * float64(time.Second))
}
