package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/state/roster"
)

// Deployment describes the size and the load of a production deployment.
type Deployment struct {
	Name      string
	Domains   int
	Instances int
	Targets   int
	// RequestsPerSecond and JobsPerSecond are the mean rates of online requests and
	// of batch jobs.
	RequestsPerSecond, JobsPerSecond float64
}

// Deployments returns both production deployments at their present size, and a
// larger version of one of them.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "cascadia", Domains: 3, Instances: 9, Targets: 9, RequestsPerSecond: 40.3, JobsPerSecond: 0.514},
		{Name: "dobrescu", Domains: 3, Instances: 12, Targets: 12, RequestsPerSecond: 53.8, JobsPerSecond: 0.685},
		{Name: "cascadia-grown", Domains: 3, Instances: 62, Targets: 90, RequestsPerSecond: 404, JobsPerSecond: 5.15},
	}
}

// Parameters of the load, which alternates between 3.6 s at lowFactor and 2.4 s at
// highFactor.
const (
	loadDuration          = 40 * time.Second
	finishDuration        = 18 * time.Second
	swingPeriod           = 6 * time.Second
	lowDuration           = 3600 * time.Millisecond
	lowFactor, highFactor = 0.391, 1.91
	objective             = 300 * time.Millisecond
	deadline              = 5 * time.Second
	jobDeadline           = 18 * time.Second
	meanRequestEvents     = 34
	meanItemEvents        = 232
	itemsPerJob           = 10
	// lengthSpread is the standard deviation of output lengths, as a part of the
	// mean.
	lengthSpread = 0.25
)

// Scenario describes the events of a run besides the load swings.
type Scenario struct {
	// BurstFactor multiplies the online load from second 14 to 18.
	BurstFactor float64
	// JobFactor multiplies the rate of jobs from second 20 to 23.
	JobFactor float64
	// LostTargets is the number of targets that are unreachable from second 26 to
	// 31.
	LostTargets int
}

// onlineFactor returns the factor of the online load at a time since the start of the
// run.
func (s Scenario) onlineFactor(at time.Duration) float64 {
	factor := lowFactor
	if at%swingPeriod >= lowDuration {
		factor = highFactor
	}
	if s.BurstFactor > 0 && at >= 14*time.Second && at < 18*time.Second {
		factor *= s.BurstFactor
	}
	return factor
}

// jobFactor returns the factor of the rate of jobs at a time since the start of the run.
func (s Scenario) jobFactor(at time.Duration) float64 {
	if s.JobFactor > 0 && at >= 20*time.Second && at < 23*time.Second {
		return s.JobFactor
	}
	return 1
}

// randomLength returns a random output length, at least one event.
func randomLength(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(1+lengthSpread*random.NormFloat64())))
}

// targetList returns the targets as instances read them from the platform's list.
func (d Deployment) targetList() (list []roster.Target) {
	for i := range d.Targets {
		list = append(list, roster.Target{
			ID: fmt.Sprint("t", i), Service: service, Domain: d.domainOf(i),
			Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slotsPerTarget,
		})
	}
	return list
}

const service = "s"

func (d Deployment) domainOf(i int) string { return fmt.Sprint("d", i%d.Domains) }
