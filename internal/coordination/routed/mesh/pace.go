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
	// smallFleet is the number of instances up to which each speaks to all others.
	// Beyond it they speak through relays.
	smallFleet = 16
	// SilentAfter is the silence after which an instance of a small fleet counts
	// as silent, and after which a failure domain does of which nobody is heard.
	// It is more than two messages of another failure domain.
	SilentAfter = 500 * time.Millisecond
	// relayedSilentAfter is the same for an instance of a large fleet, which is heard
	// through up to two relays: two lost messages beyond what each step may take.
	relayedSilentAfter = 1250 * time.Millisecond
)

// pace is how often two instances tell each other of themselves.
type pace struct {
	near, far time.Duration
	// silentAfter is the silence after which an instance counts as silent.
	silentAfter time.Duration
}

// paceOf gives the pace of a fleet of so many instances.
func paceOf(instances int) pace {
	if instances > smallFleet {
		return pace{near: relayEvery, far: relayEvery, silentAfter: relayedSilentAfter}
	}
	return pace{near: nearEvery, far: farFactor * nearEvery, silentAfter: SilentAfter}
}

func (p pace) period(near bool) time.Duration {
	if near {
		return p.near
	}
	return p.far
}
