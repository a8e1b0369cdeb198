package servicetime

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

var streams = Work{Service: "s", Stream: true}

// Guards against estimates that are not those of the answers: they must be within the precision
// of the histogram, a hundredth, of the exact quantiles.
func TestEstimateIsThatOfTheRecentAnswers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	times := NewTimes()
	var all []float64
	for n := range 1000 {
		took := time.Duration(40+random.IntN(400)) * time.Millisecond
		all = append(all, took.Seconds())
		times.AddFirstBytes(start.Add(time.Duration(n)*5*time.Millisecond), streams, took)
	}
	sort.Float64s(all)
	e := times.FirstBytes(start.Add(5*time.Second+300*time.Millisecond), streams)
	require.InEpsilon(t, all[500], e.Median.Seconds(), 0.02)
	require.InEpsilon(t, all[900], e.P90.Seconds(), 0.02)
	require.EqualValues(t, 1000, e.Count)
	require.Equal(t, 305*time.Millisecond, e.Age)
	require.True(t, e.Known())
	require.False(t, times.FirstBytes(start, Work{Service: "s"}).Known(), "other answers of the service")
	require.False(t, times.Answer(start, "s").Known())
}

// Guards against an estimate from too few answers, and against one that outlives what it was from.
func TestEstimateNeedsEnoughRecentAnswers(t *testing.T) {
	times := NewTimes()
	require.False(t, times.FirstBytes(start, streams).Known())
	for n := range MinAnswers {
		require.False(t, times.FirstBytes(start, streams).Known(), n)
		times.AddFirstBytes(start, streams, 100*time.Millisecond)
	}
	require.True(t, times.FirstBytes(start.Add(window/2), streams).Known())
	require.False(t, times.FirstBytes(start.Add(window), streams).Known())
	for range MinAnswers {
		times.AddFirstBytes(start.Add(time.Hour), streams, 200*time.Millisecond)
	}
	e := times.FirstBytes(start.Add(time.Hour), streams)
	require.EqualValues(t, MinAnswers, e.Count)
	require.InEpsilon(t, 0.2, e.Median.Seconds(), 0.02)
}

// Guards against an estimate that does not follow a change of speed: after the window it must be
// that of the new speed alone.
func TestEstimateFollowsTheSpeed(t *testing.T) {
	times := NewTimes()
	now := start
	for ; now.Before(start.Add(window)); now = now.Add(50 * time.Millisecond) {
		times.AddFirstBytes(now, streams, 60*time.Millisecond)
	}
	for ; now.Before(start.Add(2 * window)); now = now.Add(50 * time.Millisecond) {
		times.AddFirstBytes(now, streams, 240*time.Millisecond)
	}
	e := times.FirstBytes(now, streams)
	require.InEpsilon(t, 0.24, e.Median.Seconds(), 0.02)
	require.InEpsilon(t, 0.24, e.P90.Seconds(), 0.02)
}

// Guards against a target that counts as stalled earlier than without estimates, and against one that
// counts so late that a second target would answer late.
func TestExchangeNeverStallsEarlierThanWithoutEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		objective := time.Duration(50+random.IntN(2000)) * time.Millisecond
		usual := max(100*time.Millisecond, objective/2)
		e := Estimate{Count: int64(random.IntN(40)), Median: time.Duration(random.IntN(3000)) * time.Millisecond}
		e.P90All = e.Median + time.Duration(random.IntN(3000))*time.Millisecond
		limit := StallAfter(objective, usual, e)
		require.GreaterOrEqual(t, limit, usual)
		if limit > usual {
			require.True(t, e.Known())
			require.LessOrEqual(t, limit, e.P90All)
			require.LessOrEqual(t, limit+e.Median, objective)
		}
	}
}

// Guards against times by which no request can be sent, and against estimates that are used although
// they are from too few answers.
func TestRequestsMayBeSentForPartOfTheObjective(t *testing.T) {
	const objective, usual = 300 * time.Millisecond, 60 * time.Millisecond
	known := func(p90 time.Duration) Estimate {
		return Estimate{Count: MinAnswers, Median: p90 / 2, P90: p90, P90All: maxTime}
	}
	require.Equal(t, 240*time.Millisecond, SendWithin(objective, usual, Estimate{}))
	require.Equal(t, 240*time.Millisecond, SendWithin(objective, usual, Estimate{Count: MinAnswers - 1, P90: 200 * time.Millisecond}))
	require.Equal(t, 225*time.Millisecond, SendWithin(objective, usual, known(75*time.Millisecond)))
	require.Equal(t, 240*time.Millisecond, SendWithin(objective, usual, known(20*time.Millisecond)))
	require.Equal(t, 100*time.Millisecond, SendWithin(objective, usual, known(200*time.Millisecond)))
	require.Equal(t, 75*time.Millisecond, SendWithin(objective, usual, known(400*time.Millisecond)))
}

// Guards against a limit that is too short and is never found to be so, because the requests that it
// gives up are not counted.
func TestRequestsThatAreGivenUpRaiseTheLimit(t *testing.T) {
	const objective, usual = 300 * time.Millisecond, 150 * time.Millisecond
	times := NewTimes()
	for n := range 100 {
		if n%7 == 0 {
			times.AddGivenUp(start, streams)
			continue
		}
		times.AddFirstBytes(start, streams, 75*time.Millisecond)
	}
	e := times.FirstBytes(start, streams)
	require.InDelta(t, 0.075, e.Median.Seconds(), 0.002)
	require.InDelta(t, 0.075, e.P90.Seconds(), 0.002, "of the answers")
	require.InDelta(t, 0.225, StallAfter(objective, usual, e).Seconds(), 0.002)
	times.AddFirstBytes(start.Add(window), streams, 75*time.Millisecond)
	require.Equal(t, times.FirstBytes(start.Add(window), streams).P90, times.FirstBytes(start.Add(window), streams).P90All, "after the window")
}

// Guards against an estimator that records or states anything while it is turned off.
func TestEstimatorThatIsOffKnowsNothing(t *testing.T) {
	var missing *Estimator
	paced := func(string) bool { return true }
	for _, e := range []*Estimator{missing, New(Options{ReportsPace: paced})} {
		for range 2 * MinAnswers {
			e.AddFirstBytes(streams, time.Second)
			e.AddGivenUp(streams)
			e.AddAnswer("s", time.Second)
		}
		require.Zero(t, e.FirstBytes(streams))
		_, known := e.Answer("s")
		require.False(t, known)
	}
}

// Guards against estimates for services whose targets don't report their pace. The time of a whole
// answer is known for them too.
func TestEstimatesAreForServicesWithPace(t *testing.T) {
	e := New(Options{Enabled: true, ReportsPace: func(service string) bool { return service == "s" }})
	for range MinAnswers {
		e.AddFirstBytes(streams, 100*time.Millisecond)
		e.AddFirstBytes(Work{Service: "other", Stream: true}, 100*time.Millisecond)
		e.AddAnswer("other", 700*time.Millisecond)
	}
	require.True(t, e.FirstBytes(streams).Known())
	require.Zero(t, e.FirstBytes(Work{Service: "other", Stream: true}))
	median, known := e.Answer("other")
	require.True(t, known)
	require.InEpsilon(t, 0.7, median.Seconds(), 0.02)
}
