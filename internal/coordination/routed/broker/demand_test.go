package broker

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// square is the online demand of a failure domain that swings between 30 and 145 slots.
func square(at time.Duration) float64 {
	if at%(6*time.Second) < 3600*time.Millisecond {
		return 30
	}
	return 145
}

// feed records demand with the noise of random arrivals from one time to another.
func feed(f *demandForecast, from, to time.Duration, demand func(time.Duration) float64, random *rand.Rand) {
	for at := from; at < to; at += sampleInterval {
		mean := demand(at)
		f.observe(after(at), max(0, math.Round(mean+0.7*math.Sqrt(mean)*random.NormFloat64())))
	}
}

// forecastError returns the root mean square error of a forecast of the next 5 s.
func forecastError(f *demandForecast, now time.Duration, demand func(time.Duration) float64) float64 {
	sum, steps := 0.0, 50
	for i := 1; i <= steps; i++ {
		difference := f.after(i) - demand(now+time.Duration(i-1)*sampleInterval)
		sum += difference * difference
	}
	return math.Sqrt(sum / float64(steps))
}

// Guards against a forecast that works only for one period, or only for a square wave.
func TestForecastLearnsSwingsOfAnyFormAndPeriod(t *testing.T) {
	sine := func(period time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 { return 90 + 60*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()) }
	}
	for name, c := range map[string]struct {
		demand func(time.Duration) float64
		period time.Duration
	}{
		"square":       {square, 6 * time.Second},
		"smooth":       {sine(7300 * time.Millisecond), 7300 * time.Millisecond},
		"smooth, slow": {sine(15 * time.Second), 15 * time.Second},
		"smooth, fast": {sine(2500 * time.Millisecond), 2500 * time.Millisecond},
	} {
		f := &demandForecast{}
		end := 60 * time.Second
		feed(f, 0, end, c.demand, rand.New(rand.NewPCG(1, 1)))
		require.True(t, f.known(), name)
		require.InDelta(t, c.period.Seconds(), f.period().Seconds(), 0.2, name)
		require.Less(t, forecastError(f, end, c.demand), 20.0, name)
	}
}

// Guards against items that wait for a variation which is only noise.
func TestSteadyDemandGivesNoForecast(t *testing.T) {
	for seed := range uint64(20) {
		f := &demandForecast{}
		random := rand.New(rand.NewPCG(seed, 1))
		for at := time.Duration(0); at < 60*time.Second; at += time.Second {
			feed(f, at, at+time.Second, func(time.Duration) float64 { return 90 }, random)
			require.False(t, f.known(), "seed %d at %s", seed, at)
		}
	}
	f := &demandForecast{}
	feed(f, 0, 60*time.Second, func(time.Duration) float64 { return 0 }, rand.New(rand.NewPCG(1, 1)))
	require.False(t, f.known(), "no demand")
}

// Guards against decisions by a course that demand has left.
func TestForecastEndsSoonAfterSwingEndsOrShifts(t *testing.T) {
	for name, c := range map[string]struct {
		demand func(time.Duration) float64
		// within counts from the change. A trough that goes on shows once the peak should have come.
		within time.Duration
	}{
		"steady":  {func(time.Duration) float64 { return 90 }, time.Second},
		"low":     {func(time.Duration) float64 { return 30 }, 5 * time.Second},
		"shifted": {func(at time.Duration) float64 { return square(at + 3*time.Second) }, 2 * time.Second},
	} {
		f := &demandForecast{}
		random := rand.New(rand.NewPCG(1, 1))
		feed(f, 0, 60*time.Second, square, random)
		require.True(t, f.known(), name)
		unknownAfter := time.Duration(0)
		for at := 60 * time.Second; at < 72*time.Second; at += sampleInterval {
			feed(f, at, at+sampleInterval, c.demand, random)
			if !f.known() {
				unknownAfter = at - 60*time.Second
				break
			}
		}
		t.Log(name, unknownAfter)
		require.Positive(t, unknownAfter, "%s: it is still known", name)
		require.LessOrEqual(t, unknownAfter, c.within, name)
		if name == "shifted" {
			feed(f, 72*time.Second, 110*time.Second, c.demand, random)
			require.True(t, f.known(), "learned again")
		}
	}
}

// Guards against a gap in the record, such as that of an instance that is paused, which would be
// read as a change of demand or take long to fill.
func TestForecastBridgesGaps(t *testing.T) {
	f := &demandForecast{}
	random := rand.New(rand.NewPCG(1, 1))
	feed(f, 0, 40*time.Second, square, random)
	f.observe(after(41*time.Second), 30)
	require.Equal(t, 411, f.count, "samples are filled in")
	f.observe(after(time.Hour), 30)
	require.False(t, f.known(), "an old record is dropped")
	require.Less(t, f.count, 3)
}
