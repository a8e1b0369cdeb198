package quarantine

import (
	"math"
	"time"
)

const (
	// chanceEndInterval is the shortest mean time between two ends of one target that no request
	// causes. Targets that end more often under a request are taken to end because of it.
	chanceEndInterval = 5 * time.Second
	// leastChance is the probability below which ends of targets under a request do not count as
	// chance.
	leastChance = 0.01
)

// byChance reports whether so many targets may have ended by chance while they worked on a request
// for some time in all. Targets that end for their own reasons do so at random moments, so a request
// meets more of them the longer it runs; one that crashes its targets ends them as soon as they reach
// the point at which it does.
func byChance(ends int, ran time.Duration) bool {
	return atLeast(ends, ran.Seconds()/chanceEndInterval.Seconds()) >= leastChance
}

// atLeast returns the probability of at least count random events where mean are expected.
func atLeast(count int, mean float64) float64 {
	fewer, term := 0.0, math.Exp(-mean)
	for n := range count {
		fewer += term
		term *= mean / float64(n+1)
	}
	return 1 - fewer
}

// runTime returns how long targets have worked on a request of which some ends count.
func (r *endRecord) runTime(ends []*requestEnd) time.Duration {
	ran := r.ranSinceEnd
	for _, end := range ends {
		ran += end.ran
	}
	return ran
}
