package slots

import (
	"cmp"
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
	// RequestEvents and ItemEvents are the mean output lengths. 0: meanRequestEvents and
	// meanItemEvents.
	RequestEvents, ItemEvents int
	// StepFactor multiplies the time that engines take for a decode step. 0: 1.
	StepFactor float64
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
	// Swing is the factor of the online load by the time since the start of the run. nil: a
	// square wave.
	Swing func(at time.Duration) float64
	// Duration is the time for which load arrives. 0: loadDuration.
	Duration time.Duration
	// MeasureFrom is the time from which requests, jobs and yields are counted.
	MeasureFrom time.Duration
	// NewBrokersAt is when each broker is replaced by a successor that learns the holds from the
	// instances. 0: never.
	NewBrokersAt time.Duration
	// LostTargets is the number of targets that are unreachable from second 26 to
	// 31.
	LostTargets int
}

// onlineFactor returns the factor of the online load at a time since the start of the
// run.
func (s Scenario) onlineFactor(at time.Duration) float64 {
	swing := s.Swing
	if swing == nil {
		swing = squareSwing
	}
	factor := swing(at)
	if s.BurstFactor > 0 && at >= 14*time.Second && at < 18*time.Second {
		factor *= s.BurstFactor
	}
	return factor
}

// squareSwing alternates between lowFactor and highFactor.
func squareSwing(at time.Duration) float64 {
	if at%swingPeriod >= lowDuration {
		return highFactor
	}
	return lowFactor
}

// duration returns the time for which load arrives.
func (s Scenario) duration() time.Duration { return cmp.Or(s.Duration, loadDuration) }

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
