package mesh

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

var (
	troubleSeeds = flag.Int("trouble-seeds", 2, "seeds of each size in the test of random troubles")
	troubleSizes = flag.String("trouble-sizes", "9,73", "numbers of instances in the test of random troubles")
)

// troubleTime is the time in which the troubles of a run begin.
const troubleTime = 9 * time.Second

// timeline is what happens to a fleet, in the order of time.
type timeline struct {
	fleet  *rateFleet
	events []event
	names  []string
}

type event struct {
	at time.Duration
	do func()
}

func (l *timeline) add(at time.Duration, do func()) { l.events = append(l.events, event{at, do}) }

// run serves callers, with the events at their times, and for some seconds after the last one.
func (l *timeline) run() {
	slices.SortStableFunc(l.events, func(a, b event) int { return int(a.at - b.at) })
	elapsed := time.Duration(0)
	for _, e := range l.events {
		if e.at > elapsed {
			l.fleet.serve(e.at - elapsed)
			elapsed = e.at
		}
		e.do()
	}
	l.fleet.serve(window)
}

// between returns a random time.
func (f *rateFleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Int64N(int64(to-from)))
}

// some returns a random part of the places.
func (f *rateFleet) some(share float64) (chosen []*place) {
	for _, p := range f.places {
		if f.random.Float64() < share {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// restartAt kills instances and starts them again after a time.
func (l *timeline) restartAt(at, down time.Duration, places []*place) {
	l.add(at, func() {
		for _, p := range places {
			l.fleet.kill(p)
		}
	})
	l.add(at+down, func() {
		for _, p := range places {
			if p.process == nil {
				l.fleet.start(p)
			}
		}
	})
}

// isolateAt cuts instances off from all others, also from each other if alone is set.
func (l *timeline) isolateAt(at, d time.Duration, places []*place, alone bool) {
	f := l.fleet
	inside := map[string]bool{}
	for _, p := range places {
		inside[p.name] = true
	}
	cut := func(from, to Instance) bool {
		return inside[from.Name] != inside[to.Name] || alone && inside[from.Name] && from.Name != to.Name
	}
	l.add(at, func() { f.setCut(cut) })
	l.add(at+d, func() { f.setCut(nil) })
}

func (f *rateFleet) setCut(cut func(from, to Instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = cut
}

// changeLimits publishes a configuration in which all rates are multiplied.
func (f *rateFleet) changeLimits(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := map[string]quota.Limit{}
	for org, l := range f.limits {
		limits[org] = quota.Limit{Rate: l.Rate * factor, Burst: l.Burst * factor}
	}
	f.version++
	f.limits = limits
	f.history = append(f.history, publishedLimits{time.Now(), limits})
}

// randomTroubles are the kinds of trouble that a run is made of. Each adds its events, which
// begin at a given time.
var randomTroubles = []struct {
	name string
	add  func(l *timeline, at time.Duration)
}{
	{"one restarts", func(l *timeline, at time.Duration) {
		l.restartAt(at, l.fleet.between(50*time.Millisecond, time.Second), l.fleet.places[:1])
	}},
	{"all restart", func(l *timeline, at time.Duration) {
		l.restartAt(at, l.fleet.between(300*time.Millisecond, time.Second), l.fleet.places)
	}},
	{"waves of restarts", func(l *timeline, at time.Duration) {
		for n := range 3 {
			l.restartAt(at+time.Duration(n)*time.Second, l.fleet.between(50*time.Millisecond, 500*time.Millisecond), l.fleet.some(0.5))
		}
	}},
	{"restarts in series", func(l *timeline, at time.Duration) {
		gap := 4 * time.Second / time.Duration(len(l.fleet.places))
		for n, p := range l.fleet.places {
			l.restartAt(at+time.Duration(n)*gap, 200*time.Millisecond, []*place{p})
		}
	}},
	{"store silent", func(l *timeline, at time.Duration) {
		l.add(at, func() { l.fleet.setStoreDown(true) })
		l.add(at+l.fleet.between(time.Second, 5*time.Second), func() { l.fleet.setStoreDown(false) })
	}},
	{"store silent for some", func(l *timeline, at time.Duration) {
		denied := map[string]bool{}
		for _, p := range l.fleet.some(0.4) {
			denied[p.name] = true
		}
		l.add(at, func() { l.fleet.setStoreDownFor(func(i Instance) bool { return denied[i.Name] }) })
		l.add(at+l.fleet.between(time.Second, 5*time.Second), func() { l.fleet.setStoreDown(false) })
	}},
	{"store slow", func(l *timeline, at time.Duration) {
		l.add(at, func() { l.fleet.setStoreCall(700 * time.Millisecond) })
		l.add(at+4*time.Second, func() { l.fleet.setStoreCall(storeCall) })
	}},
	{"domain cut off", func(l *timeline, at time.Duration) {
		var places []*place
		for _, p := range l.fleet.places {
			if p.domain == "b" {
				places = append(places, p)
			}
		}
		l.isolateAt(at, l.fleet.between(time.Second, 5*time.Second), places, false)
	}},
	{"some cut off alone", func(l *timeline, at time.Duration) {
		l.isolateAt(at, l.fleet.between(time.Second, 5*time.Second), l.fleet.some(0.35), true)
	}},
	{"some leave for good", func(l *timeline, at time.Duration) {
		l.add(at, func() {
			for _, p := range l.fleet.some(0.2) {
				l.fleet.kill(p)
			}
		})
	}},
	{"some are added", func(l *timeline, at time.Duration) {
		l.add(at, func() { l.fleet.addPlaces(len(l.fleet.places) / 4) })
	}},
	{"limits raised", func(l *timeline, at time.Duration) { l.add(at, func() { l.fleet.changeLimits(2) }) }},
	{"limits lowered", func(l *timeline, at time.Duration) { l.add(at, func() { l.fleet.changeLimits(0.5) }) }},
	{"answers lost, tried again", func(l *timeline, at time.Duration) { l.add(at, func() { l.fleet.again = 0.05 }) }},
}

// newTimeline draws three to five troubles and one or two times at which an organisation is hot.
func newTimeline(f *rateFleet) *timeline {
	l := &timeline{fleet: f}
	for range 3 + f.random.IntN(3) {
		trouble := randomTroubles[f.random.IntN(len(randomTroubles))]
		at := f.between(0, troubleTime)
		trouble.add(l, at)
		l.names = append(l.names, fmt.Sprintf("%s at %.1f s", trouble.name, at.Seconds()))
	}
	for range 1 + f.random.IntN(2) {
		at, times := f.between(0, troubleTime), 4+11*f.random.Float64()
		l.add(at, func() { f.load[hotOrg] = times })
		l.add(at+f.between(2*time.Second, 6*time.Second), func() { f.load[hotOrg] = usualLoad })
		l.names = append(l.names, fmt.Sprintf("%.0f times the rate at %.1f s", times, at.Seconds()))
	}
	return l
}

// Guards against an organisation that gets more than the users tolerate while kinds of trouble come
// in series and overlap.
func TestRatesHoldUnderRandomTrouble(t *testing.T) {
	for _, size := range strings.Split(*troubleSizes, ",") {
		var instances int
		_, err := fmt.Sscan(size, &instances)
		require.NoError(t, err)
		for seed := range *troubleSeeds {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runRandomTrouble(t, uint64(seed), instances) })
			})
		}
	}
}

func runRandomTrouble(t *testing.T, seed uint64, instances int) {
	limit := someRates[seed%uint64(len(someRates))]
	f := newRateFleet(t, seed, instances, map[string]quota.Limit{hotOrg: limit, usualOrg: limit})
	l := newTimeline(f)
	l.run()
	for _, org := range []string{hotOrg, usualOrg} {
		worst := f.worstWindow(org)
		t.Logf("%s: %d of %d in a window, refused %.3f of %d; rate %v; %s", org, worst.ran, worst.tolerated,
			float64(f.refused[org])/float64(max(1, f.asked[org])), f.asked[org], limit.Rate, strings.Join(l.names, ", "))
		require.LessOrEqual(t, worst.ran, worst.tolerated, "%s: %s", org, strings.Join(l.names, ", "))
	}
}
