package mesh

import "time"

const (
	// nearEvery is the period of messages inside the failure domain of a small
	// fleet. Messages go both ways and both sides begin, so that each hears twice
	// as often. What is let in of a rate is told with them, and an organisation that
	// sends several times its rate sends a few requests between two of them.
	nearEvery = 100 * time.Millisecond
	// farFactor is how much longer the period is to other failure domains, where
	// bytes cost.
	farFactor = 2
	// smallFleet is the number of instances up to which the periods hold. Beyond
	// it they grow with the fleet, so that an instance sends and hears the same
	// number of messages at any size.
	smallFleet = 16
	// SilentAfter is the silence after which an instance of a small fleet counts
	// as silent, and after which a failure domain does of which nobody is heard.
	// It is more than two messages of another failure domain.
	SilentAfter = 500 * time.Millisecond
	// silentPeriods is the same in periods, for larger fleets.
	silentPeriods = 2.5
)

// pace is how often two instances tell each other of themselves.
type pace struct {
	near, far time.Duration
}

// paceOf gives the pace of a fleet of so many instances.
func paceOf(instances int) pace {
	near := nearEvery * time.Duration(max(smallFleet, instances)) / smallFleet
	return pace{near: near, far: farFactor * near}
}

func (p pace) period(near bool) time.Duration {
	if near {
		return p.near
	}
	return p.far
}

// patience is the silence after which an instance counts as silent.
func (p pace) patience(near bool) time.Duration {
	return max(SilentAfter, time.Duration(silentPeriods*float64(p.period(near))))
}
