package mesh

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/quota"
)

var (
	rateSeedCount = flag.Int("rate-seeds", 1, "seeds with which each trouble of the tests of rates is run")
	rateInstances = flag.Int("rate-instances", 73, "instances of the large fleet in the tests of rates")
)

// restart kills a part of the instances at once and starts them again after a time.
func (f *rateFleet) restart(share float64, down time.Duration) {
	var chosen []*place
	for _, p := range f.places {
		if f.random.Float64() < share {
			chosen = append(chosen, p)
		}
	}
	for _, p := range chosen {
		f.kill(p)
	}
	f.serve(down)
	for _, p := range chosen {
		f.start(p)
	}
}

// setStoreDown makes the store silent for all instances.
func (f *rateFleet) setStoreDown(down bool) {
	f.setStoreDownFor(func(Instance) bool { return down })
}

func (f *rateFleet) setStoreDownFor(down func(Instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
}

// setStoreCall sets the time that a call to the store takes.
func (f *rateFleet) setStoreCall(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeCall = d
}

// restartInWaves restarts half of the instances each second.
func (f *rateFleet) restartInWaves(waves int) {
	for range waves {
		f.restart(0.5, 300*time.Millisecond)
		f.serve(700 * time.Millisecond)
	}
}

var (
	someRates = []quota.Limit{{Rate: 97, Burst: 97}, {Rate: 30, Burst: 30}, {Rate: 8, Burst: 8}}
	// someLoads are what a hot organisation sends, as multiples of its rate. mostLoad is the
	// most that an organisation is expected to send.
	someLoads = []float64{2.5, 5, 9}
	mostLoad  = []float64{15}
)

// requireRateHolds runs a trouble while an organisation sends several times its rate, and
// requires that in no window targets ran more of its requests than users tolerate.
func requireRateHolds(t *testing.T, instances int, loads []float64, run func(f *rateFleet)) {
	for seed := range *rateSeedCount {
		requireRateHoldsWith(t, uint64(seed+1), instances, loads, run)
	}
}

func requireRateHoldsWith(t *testing.T, seed uint64, instances int, loads []float64, run func(f *rateFleet)) {
	for _, limit := range someRates {
		for _, times := range loads {
			t.Run(fmt.Sprintf("seed %d, %v a second, %v times", seed, limit.Rate, times), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newRateFleet(t, seed, instances, map[string]quota.Limit{hotOrg: limit, usualOrg: limit})
					f.load[hotOrg] = times
					run(f)
					worst := f.worstWindow(hotOrg)
					t.Logf("most in a window: %d of %d, from %s", worst.ran, worst.tolerated, worst.from.Format(time.TimeOnly))
					require.LessOrEqual(t, worst.ran, worst.tolerated)
				})
			})
		}
	}
}

// Guards against restarted instances that hear only of each other at first, conclude that nobody
// knows the levels, and take all buckets for full, while instances that were not restarted know
// that they are empty.
func TestRateHoldsWhileHalfOfTheFleetRestarts(t *testing.T) {
	requireRateHolds(t, *rateInstances, someLoads, func(f *rateFleet) {
		f.serve(time.Second)
		f.restartInWaves(4)
		f.serve(4 * time.Second)
	})
}

// Guards against a restart of all instances that gives each organisation a whole burst again.
func TestRateHoldsAcrossRestartOfAllInstances(t *testing.T) {
	requireRateHolds(t, *rateInstances, someLoads, func(f *rateFleet) {
		f.serve(time.Second)
		f.restart(1, 500*time.Millisecond)
		f.serve(6 * time.Second)
	})
}

// Guards against instances that read the configuration late, after the time to wait for levels has
// passed, and take all buckets for full without having looked at the levels that they were sent.
func TestRateHoldsWhenConfigurationComesLate(t *testing.T) {
	requireRateHolds(t, *rateInstances, someLoads, func(f *rateFleet) {
		f.serve(time.Second)
		f.setStoreDown(true)
		f.restartInWaves(4)
		f.setStoreDown(false)
		f.serve(4 * time.Second)
	})
}

// Guards against instances that start together, hear of each other first, and conclude that nobody
// knows the levels, or tell others so, while most instances were not restarted.
func TestStartedInstancesAdoptTheLevelsOfThoseThatKnowThem(t *testing.T) {
	for _, instances := range []int{9, 73} {
		for _, storeDown := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				limit := quota.Limit{Rate: 30, Burst: 30}
				f := newRateFleet(t, 1, instances, map[string]quota.Limit{hotOrg: limit, usualOrg: limit})
				f.load[hotOrg] = 8 * usualLoad
				f.serve(time.Second)
				f.setStoreDown(storeDown)
				f.restart(0.6, 300*time.Millisecond)
				f.serve(3 * time.Second)
				f.setStoreDown(false)
				f.serve(3 * time.Second)
				for _, p := range f.places {
					from := p.process.limiter.LevelsFrom()
					require.NotEqual(t, quota.LevelsUnknown, from, p.name)
					if p.starts > 1 {
						require.NotEqual(t, quota.LevelsOfNobody, from, p.name)
					}
				}
			})
		}
	}
}

// Guards against an organisation that begins to send many times its rate to all instances, each of
// which hears too late how much the others have admitted.
func TestRateHoldsFromTheMomentAtWhichAnOrganisationIsHot(t *testing.T) {
	requireRateHolds(t, 9, mostLoad, serveFromUsualToHot)
	requireRateHolds(t, *rateInstances, someLoads, serveFromUsualToHot)
}

// As above, with the most that an organisation is expected to send to a large fleet.
func TestRateHoldsFromTheMomentAtWhichAnOrganisationIsVeryHot(t *testing.T) {
	requireRateHolds(t, *rateInstances, mostLoad, serveFromUsualToHot)
}

func serveFromUsualToHot(f *rateFleet) {
	hot := f.load[hotOrg]
	f.load[hotOrg] = usualLoad
	f.serve(window)
	f.load[hotOrg] = hot
	f.serve(window)
}

// As TestRateHoldsAcrossRestartOfAllInstances, with the most that an organisation is expected to
// send.
func TestRateHoldsAcrossRestartOfAllInstancesWhileAnOrganisationIsVeryHot(t *testing.T) {
	requireRateHolds(t, *rateInstances, mostLoad, func(f *rateFleet) {
		f.serve(time.Second)
		f.restart(1, 500*time.Millisecond)
		f.serve(6 * time.Second)
	})
}

// Guards against a restart of all instances after which those who were told to come back do so at one
// moment, and each instance admits what the whole fleet may.
func TestRateHoldsAcrossRestartOfAllInstancesWhileCallersReturn(t *testing.T) {
	for _, instances := range []int{9, *rateInstances} {
		for _, times := range []float64{5, 7.5, 12} {
			requireRateHolds(t, instances, []float64{times}, func(f *rateFleet) {
				f.returns = true
				f.serve(2 * time.Second)
				f.restart(1, 500*time.Millisecond)
				f.serve(6 * time.Second)
			})
		}
	}
}
