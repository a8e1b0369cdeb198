package broker

import (
	"math"
	"time"
)

const (
	// sampleInterval is how often the demand of online requests is recorded. A request holds a
	// slot for several intervals.
	sampleInterval = 100 * time.Millisecond
	// historySamples is the length of the record. It holds some repetitions of the longest
	// variation that is looked for, and its memory is bounded.
	historySamples = 600
	// minLagSamples and maxLagSamples bound the time after which demand may repeat. A shorter
	// variation ends before an item could use it. A longer one would be learned too late.
	minLagSamples = 10
	maxLagSamples = 200
	// differenceWeight is the weight of a sample in the differences by lag: their memory is
	// about six seconds, so that a variation that has ended is forgotten.
	differenceWeight = 1.0 / 60
	// errorWeight is the weight of a sample in the error of recent forecasts, about a second.
	// Demand that leaves its earlier course must stop the forecast sooner than it changes the
	// differences by lag.
	errorWeight = 1.0 / 10
	// maxDifference is the largest normalised difference of a lag at which demand counts as
	// repeated. Noise alone has 1.
	maxDifference = 0.35
	// minConfidence is the least confidence of a forecast that is used.
	minConfidence = 0.25
	// errorAllowance is the squared error of the last second, as a part of the mean squared
	// difference of demand at different times, from which a forecast has no confidence.
	errorAllowance = 0.2
	// minSamples is the shortest record by which a variation is known: that of the differences.
	minSamples = 60
	// edgeTolerance is by how many samples a rise or fall may come earlier or later.
	edgeTolerance = 2
	// repetitions is the number of earlier repetitions from which demand is forecast, and
	// repetitionWeight the weight of each one relative to the next younger one. The mean of some
	// has less noise than the last one.
	repetitions      = 4
	repetitionWeight = 0.8
	// deviationMemory is the number of samples after which a present deviation from the forecast
	// counts a third. A deviation lasts about as long as a request holds its slot.
	deviationMemory = 5
)

// demandForecast forecasts how many slots the online requests of a service need, for as long as
// their demand varies in a way that repeats. It knows neither the time after which demand
// repeats nor its form: for each possible lag it keeps the mean difference between the demand
// now and the demand that long ago, and uses the lag with the smallest one.
//
// It handles demand that swings between troughs and peaks within seconds. Demand that is steady
// or varies at random has no lag that stands out, and gives no forecast. It is pure and not safe
// for concurrent use.
type demandForecast struct {
	samples [historySamples]float64
	// count is the number of samples so far, the last one taken at last.
	count int
	last  time.Time
	// differences are the moving means of squared differences by lag, 0 to maxLagSamples.
	differences [maxLagSamples + 1]float64
	// lag is the lag in use, 0 for none, and quality its normalised difference.
	lag     int
	quality float64
	// recentError is the moving mean of the squared error of forecasts with lag.
	recentError float64
	// spread is the mean of the differences of all lags.
	spread float64
	// curve is the forecast by the number of samples from now. It was computed when curveCount
	// samples were recorded.
	curve      [horizonSamples + 1]float64
	curveCount int
}

// observe records the demand at a time. If earlier samples are missing, the demand counts as
// unchanged since then.
func (f *demandForecast) observe(now time.Time, demand float64) {
	if f.count == 0 {
		f.last = now.Add(-sampleInterval)
	}
	missed := int(now.Sub(f.last) / sampleInterval)
	if missed > historySamples {
		*f = demandForecast{last: now.Add(-sampleInterval)}
		missed = 1
	}
	for i := range missed {
		value := demand
		if i < missed-1 {
			value = f.at(f.count - 1)
		}
		f.add(value)
	}
	f.last = f.last.Add(time.Duration(missed) * sampleInterval)
}

// at returns the sample of an index, counted from the first one.
func (f *demandForecast) at(index int) float64 {
	return f.samples[((index%historySamples)+historySamples)%historySamples]
}

func (f *demandForecast) add(value float64) {
	f.samples[f.count%historySamples] = value
	newest := f.count
	f.count++
	for lag := 1; lag <= min(maxLagSamples, newest); lag++ {
		difference := value - f.at(newest-lag)
		f.differences[lag] += differenceWeight * (difference*difference - f.differences[lag])
	}
	if f.lag > 0 && newest >= f.lag {
		wrong := f.leastError(newest, value)
		f.recentError += errorWeight * (wrong*wrong - f.recentError)
	}
	f.choose()
}

// leastError returns the difference between a sample and those around its counterpart a period
// ago, the smallest one: an edge may come a little earlier or later.
func (f *demandForecast) leastError(index int, value float64) float64 {
	least := math.Inf(1)
	for at := max(0, index-f.lag-edgeTolerance); at <= min(index, index-f.lag+edgeTolerance); at++ {
		least = min(least, math.Abs(value-f.at(at)))
	}
	return least
}

// past returns the mean of the samples around an index, which has less noise than one sample.
func (f *demandForecast) past(index int) float64 {
	last := f.count - 1
	sum, n := 0.0, 0.0
	for i := max(0, index-1, f.count-historySamples); i <= min(last, index+1); i++ {
		sum += f.at(i)
		n++
	}
	return sum / max(1, n)
}

// choose chooses the lag. Differences are normalised by the mean of those of all smaller lags,
// as in the YIN estimator of pitch: otherwise the smallest lags would win, since demand a moment
// ago is always similar. Of the lags that repeat, the first local minimum is used, not one of its
// multiples.
func (f *demandForecast) choose() {
	sum := 0.0
	previous, best, quality, last := math.Inf(1), 0, 1.0, 0
	known := min(maxLagSamples, f.count/2)
	if f.count < minSamples {
		known = 0
	}
	for lag := 1; lag <= known; lag++ {
		sum += f.differences[lag]
		last = lag
		if sum == 0 {
			continue
		}
		normalised := f.differences[lag] * float64(lag) / sum
		if best > 0 && normalised > previous && quality <= maxDifference && float64(lag) > 1.2*float64(best) {
			break
		}
		if lag >= minLagSamples && normalised < quality {
			best, quality = lag, normalised
		}
		previous = normalised
	}
	if best == known || quality > maxDifference {
		best, quality = 0, 1
	}
	if best == 0 || f.lag == 0 || abs(best-f.lag) > 2 {
		f.recentError = 0
	}
	f.lag, f.quality = best, quality
	f.spread = sum / float64(max(1, last))
}

func abs(n int) int { return max(n, -n) }

// confidence returns 0 to 1, 0 if no variation is known.
func (f *demandForecast) confidence() float64 {
	if f.lag == 0 {
		return 0
	}
	return max(0, 1-f.quality) * max(0, 1-f.recentError/(errorAllowance*f.spread))
}

// known reports whether the forecast may be used.
func (f *demandForecast) known() bool { return f.confidence() >= minConfidence }

// period returns the time after which demand repeats.
func (f *demandForecast) period() time.Duration { return time.Duration(f.lag) * sampleInterval }

// after returns the demand expected a number of samples after the last one, horizonSamples at most.
func (f *demandForecast) after(steps int) float64 {
	if f.curveCount != f.count {
		f.curveCount = f.count
		for i := range f.curve {
			f.curve[i] = f.compute(i)
		}
	}
	return f.curve[steps]
}

func (f *demandForecast) compute(steps int) float64 {
	deviation := f.at(f.count-1) - f.earlier(f.count-1)
	expected := f.earlier(f.count-1+steps) + deviation*math.Exp(-float64(steps)/deviationMemory)
	return max(0, expected)
}

// earlier returns the weighted mean of the demand one, two and more periods before an index.
func (f *demandForecast) earlier(index int) float64 {
	period := f.exactLag()
	sum, weights := 0.0, 0.0
	weight, n := 1.0, 0
	for k := 1.0; n < repetitions; k++ {
		at := index - int(math.Round(k*period))
		if at >= f.count {
			continue
		}
		if at < max(1, f.count-historySamples+1) {
			break
		}
		sum += weight * f.past(at)
		weights += weight
		weight *= repetitionWeight
		n++
	}
	if weights == 0 {
		return f.past(index - f.lag)
	}
	return sum / weights
}

// exactLag returns the lag with a fraction: the minimum of a parabola through the differences
// around it.
func (f *demandForecast) exactLag() float64 {
	if f.lag <= 1 || f.lag >= maxLagSamples {
		return float64(f.lag)
	}
	before, at, after := f.differences[f.lag-1], f.differences[f.lag], f.differences[f.lag+1]
	curvature := before - 2*at + after
	if curvature <= 0 {
		return float64(f.lag)
	}
	return float64(f.lag) + max(-0.5, min(0.5, (before-after)/(2*curvature)))
}
