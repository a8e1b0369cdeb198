package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func relative(e *Estimator, now time.Time, id string) float64 {
	return e.Relative(now, e.Mean(now, "s"), id)
}

// observe records gaps between events of a target at a constant pace, ten a second, until a time.
func observe(e *Estimator, from, until time.Duration, id string, percent int) (at time.Duration) {
	for at = from; at < until; at += 100 * time.Millisecond {
		e.Observe(after(at), "s", id, EventGap, time.Duration(percent)*400*time.Microsecond)
	}
	return at
}

// Guards against a pace that is used for too long: a slow phase takes less than a second, and the
// target's own mean must take over.
func TestReportFadesIntoOwnMean(t *testing.T) {
	e := New(time.Second)
	e.Report(start, "s", "t", 100)
	at := observe(e, 0, 900*time.Millisecond, "t", 100)
	e.Report(after(at), "s", "t", 250)
	last := 251.0
	for _, age := range []time.Duration{0, 250, 500, 750} {
		got := e.Pace(after(at+age*time.Millisecond), "s", "t")
		require.Equal(t, Reported, got.Source)
		require.Equal(t, age*time.Millisecond, got.Age)
		require.Less(t, got.Percent, last)
		last = got.Percent
	}
	got := e.Pace(after(at+time.Second), "s", "t")
	require.Equal(t, Observed, got.Source)
	require.InDelta(t, 100, got.Percent, 1)
}

// Guards against a target that gets no requests, or all of them, because nothing is known of it.
func TestTargetThatWasNeverObservedHasMeanOfService(t *testing.T) {
	e := New(time.Second)
	require.Equal(t, Estimate{Percent: Usual}, e.Pace(start, "s", "new"))
	require.Equal(t, 1.0, relative(e, start, "new"))
	e.Report(start, "s", "a", 60)
	e.Report(start, "s", "b", 160)
	e.Report(start, "other", "c", 400)
	now := after(serviceMeanAge)
	require.Equal(t, Estimate{Percent: 110, Source: ServiceMean}, e.Pace(now, "s", "new"))
	require.Equal(t, 1.0, relative(e, now, "new"))
	require.Less(t, relative(e, now, "a"), 1.0)
}

// Guards against targets that keep a rank although nothing has been heard of them for long, as
// after a cut: all must be ranked as before.
func TestAllPacesAgeOut(t *testing.T) {
	e := New(time.Second)
	for i, percent := range []int{60, 100, 400} {
		id := fmt.Sprint("t", i)
		e.Report(start, "s", id, percent)
		observe(e, 0, time.Second, id, percent)
	}
	require.Greater(t, relative(e, after(time.Second), "t2"), 1.0, "the own mean")
	now := after(time.Second + meanMaxAge + time.Millisecond)
	for i := range 3 {
		require.Equal(t, 1.0, relative(e, now, fmt.Sprint("t", i)))
	}
}

// Guards against a slow phase that is known only at the next answer: a slow target may get no
// request during the whole phase, and then the first one is late.
func TestGapsShowSlowPhaseBetweenReports(t *testing.T) {
	e := New(time.Second)
	e.Report(start, "s", "t", 100)
	at := observe(e, 0, 600*time.Millisecond, "t", 100)
	require.Zero(t, e.Observe(after(at), "s", "t", EventGap, 55*time.Millisecond), "a usual deviation")
	require.InDelta(t, 250, e.Observe(after(at+100*time.Millisecond), "s", "t", EventGap, 100*time.Millisecond), 5)
	got := e.Pace(after(at+100*time.Millisecond), "s", "t")
	require.Equal(t, Observed, got.Source)
	require.Greater(t, got.Percent, 160.0)
	at += 200 * time.Millisecond
	require.InDelta(t, 100, e.Observe(after(at), "s", "t", EventGap, 40*time.Millisecond), 5, "the slow phase has ended")
	at += 100 * time.Millisecond
	require.Zero(t, e.Observe(after(at), "s", "t", EventGap, 64*time.Millisecond), "one longer gap")
	require.InDelta(t, 160, e.Observe(after(at+50*time.Millisecond), "s", "t", EventGap, 64*time.Millisecond), 5, "two in a row")
}

// Guards against a target that is ranked fastest because one gap was far too short: no target is
// so fast.
func TestObservedPaceIsBoundedFromBelow(t *testing.T) {
	e := New(time.Second)
	e.Report(start, "s", "t", 100)
	at := observe(e, 0, 600*time.Millisecond, "t", 100)
	require.Equal(t, float64(minPace), e.Observe(after(at), "s", "t", EventGap, 20*time.Microsecond))
	require.GreaterOrEqual(t, e.Pace(after(at), "s", "t").Percent, float64(minPace))
	e.Merge(after(at+time.Millisecond), "s", Observation{Target: "t", Percent: 1, Observed: true})
	require.GreaterOrEqual(t, e.Pace(after(at+time.Millisecond), "s", "t").Percent, float64(minPace))
}

// Guards against a pace that is called reported although an instance derived it from times between
// events, also after it was passed on.
func TestMergedObservationKeepsItsSource(t *testing.T) {
	first, second := New(time.Second), New(time.Second)
	first.Report(start, "s", "t", 100)
	at := observe(first, 0, 600*time.Millisecond, "t", 100)
	all := func(string) bool { return true }
	require.False(t, first.Observations(after(at), all)[0].Observed)
	first.Observe(after(at), "s", "t", EventGap, 100*time.Millisecond)
	list := first.Observations(after(at), all)
	require.True(t, list[0].Observed)
	second.Merge(after(at), "s", list[0])
	got := second.Pace(after(at), "s", "t")
	require.Equal(t, Observed, got.Source)
	require.InDelta(t, 250, got.Percent, 5)
	require.True(t, second.Observations(after(at), all)[0].Observed)
	require.Zero(t, second.targets["t"].reported, "usual times are calibrated by reports only")
	second.Merge(after(at+time.Millisecond), "s", Observation{Target: "t", Percent: 100})
	require.Equal(t, Reported, second.Pace(after(at+time.Millisecond), "s", "t").Source)
	second.Merge(after(at+2*time.Millisecond), "s", Observation{Target: "t", Percent: 400, Age: time.Second, Observed: true})
	require.InDelta(t, 100, second.Pace(after(at+2*time.Millisecond), "s", "t").Percent, 5, "an older observation")
}

// Guards against a delayed message that replaces what is known since.
func TestOlderReportHasNoEffect(t *testing.T) {
	e := New(time.Second)
	e.Report(after(time.Second), "s", "t", 60)
	e.Merge(after(time.Second), "s", Observation{Target: "t", Percent: 400, Age: 500 * time.Millisecond})
	require.InDelta(t, 60, e.Pace(after(time.Second), "s", "t").Percent, 1)
	e.Merge(after(time.Second), "s", Observation{Target: "t", Percent: 400, Age: -time.Hour})
	require.InDelta(t, 60, e.Pace(after(time.Second), "s", "t").Percent, 1, "a report from the future")
}

// Guards against state and decisions of a part that is turned off.
func TestEstimatorThatIsOffRecordsNothing(t *testing.T) {
	e := New(0)
	e.Report(start, "s", "t", 400)
	e.Observe(start, "s", "t", EventGap, time.Second)
	e.Merge(start, "s", Observation{Target: "t", Percent: 400, Mean: 400})
	require.Empty(t, e.targets)
	require.Equal(t, 1.0, relative(e, start, "t"))
	require.Equal(t, MaxReportAge, New(time.Hour).maxAge)
}

// Guards against messages that grow with the number of targets.
func TestObservationsAreBoundedAndTheMostRecent(t *testing.T) {
	e := New(time.Second)
	for i := range 2 * MaxObservations {
		e.Report(after(time.Duration(i)*time.Millisecond), "s", fmt.Sprint("t", i), 100)
	}
	list := e.Observations(after(200*time.Millisecond), func(id string) bool { return id != "t47" })
	require.Len(t, list, MaxObservations)
	require.Equal(t, Observation{Target: "t46", Percent: 100, Age: 154 * time.Millisecond}, list[0])
	require.Empty(t, e.Observations(after(time.Minute), func(string) bool { return true }))
}

// Guards against a cost that ranks a slow target with a free slot behind a full one: full ones
// cost 10 more, and own failure domain and connection 0.38.
func TestCostOfFreeSlotIsBounded(t *testing.T) {
	e := New(time.Second)
	e.Report(start, "s", "slow", 10_000)
	for i := range 20 {
		e.Report(start, "s", fmt.Sprint("t", i), 1)
	}
	slow, fast := relative(e, start, "slow"), relative(e, start, "t0")
	require.Equal(t, float64(maxRelative), slow)
	require.Equal(t, minRelative, fast)
	require.Less(t, Cost(0.99, slow)+0.39, Cost(1, fast)+10)
	require.Equal(t, 0.625, Cost(0.625, 1), "the same as without paces")
	require.Greater(t, Cost(0.75, fast), Cost(0, fast), "requests since the last report count")
}

// Guards against an instance that floods brokers with reports, or tells what the broker knows.
func TestReportsToBrokersAreBounded(t *testing.T) {
	r := NewReports()
	_, due := r.Due(start, "t", 400)
	require.False(t, due, "no broker has stated a pace")
	r.Stated("t", 0)
	_, due = r.Due(start, "t", 400)
	require.False(t, due, "the broker uses no paces")
	r.Stated("t", 100)
	_, due = r.Due(start, "t", 120)
	require.False(t, due, "nearly what the broker stated")
	known, due := r.Due(start, "t", 250)
	require.True(t, due)
	require.Equal(t, 100.0, known)
	_, due = r.Due(after(time.Millisecond), "t", 100)
	require.False(t, due, "too soon")
	_, due = r.Due(after(reportInterval), "t", 250)
	require.False(t, due, "the broker was told")
	_, due = r.Due(after(reportInterval), "t", 100)
	require.True(t, due)
	sent := 0
	for i := range 1000 {
		id := fmt.Sprint("u", i)
		r.Stated(id, 100)
		if _, due := r.Due(after(500*time.Millisecond), id, 400); due {
			sent++
		}
	}
	require.Equal(t, reportsPerSecond-2, sent)
	r.Keep(func(id string) bool { return id == "t" })
	require.Len(t, r.targets, 1)
}

// Guards against a target with a malformed report in each answer that fills the log.
func TestOneLineForEachTargetAndMinute(t *testing.T) {
	l := NewLineLimit()
	lines := 0
	for i := range 1200 {
		if _, ok := l.Allow(after(time.Duration(i)*100*time.Millisecond), "t"); ok {
			lines++
		}
	}
	require.Equal(t, 2, lines)
	omitted, ok := l.Allow(after(2*time.Minute), "t")
	require.True(t, ok)
	require.Equal(t, 599, omitted)
	for i := range 2 * maxLineTargets {
		l.Allow(after(2*time.Minute), fmt.Sprint("t", i))
	}
	require.Len(t, l.targets, maxLineTargets)
	_, ok = l.Allow(after(time.Hour), "later")
	require.True(t, ok, "old targets make room")
}
