package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/state/roster"
)

// Deployment is the size and the load of one of the users.
type Deployment struct {
	Name      string
	Domains   int
	Instances int
	Targets   int
	// Online requests and batch jobs come so many a second on average.
	Online, Jobs float64
}

// Deployments are both users' of today, and one of them after it has grown.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "cascadia", Domains: 3, Instances: 9, Targets: 9, Online: 40.3, Jobs: 0.514},
		{Name: "dobrescu", Domains: 3, Instances: 12, Targets: 12, Online: 53.8, Jobs: 0.685},
		{Name: "cascadia-grown", Domains: 3, Instances: 62, Targets: 90, Online: 404, Jobs: 5.15},
	}
}

// The load of a day: low for 3.6 s and high for 2.4 s in turn.
const (
	dayLength  = 40 * time.Second
	finishTime = 18 * time.Second
	swing      = 6 * time.Second
	lowFor     = 3600 * time.Millisecond
	low, high  = 0.391, 1.91
	objective  = 300 * time.Millisecond
	deadline   = 5 * time.Second
	jobDue     = 18 * time.Second
	onlineLen  = 34
	itemLen    = 232
	jobItems   = 10
	// spread is the part by which lengths differ.
	spread = 0.25
)

// Trouble is what a day has beside its swings.
type Trouble struct {
	// Burst multiplies the online load from second 14 to 18.
	Burst float64
	// Jobs multiplies the jobs from second 20 to 23.
	Jobs float64
	// Lost targets are gone from second 26 to 31.
	Lost int
}

// rate is the factor of the online load at a time of the day.
func (t Trouble) rate(at time.Duration) float64 {
	factor := low
	if at%swing >= lowFor {
		factor = high
	}
	if t.Burst > 0 && at >= 14*time.Second && at < 18*time.Second {
		factor *= t.Burst
	}
	return factor
}

func (t Trouble) jobs(at time.Duration) float64 {
	if t.Jobs > 0 && at >= 20*time.Second && at < 23*time.Second {
		return t.Jobs
	}
	return 1
}

func lengthOf(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(1+spread*random.NormFloat64())))
}

// listed is the list of targets as instances read it.
func (d Deployment) listed() (list []roster.Target) {
	for i := range d.Targets {
		list = append(list, roster.Target{
			ID: fmt.Sprint("t", i), Service: service, Domain: d.domainOf(i),
			Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slotsEach,
		})
	}
	return list
}

const service = "s"

func (d Deployment) domainOf(i int) string { return fmt.Sprint("d", i%d.Domains) }
