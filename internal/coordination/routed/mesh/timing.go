package mesh

import "time"

const (
	// sameDomainInterval is the interval between messages to an instance of the same
	// failure domain in a small fleet. Both sides send messages and both get answers, so
	// each receives heartbeats twice as often. Heartbeats carry the counts of admitted
	// requests: an organisation that sends several times its rate sends only a few requests
	// between two of them.
	sameDomainInterval = 100 * time.Millisecond
	// crossDomainFactor is how much longer the interval is to other failure domains, where
	// traffic has a cost.
	crossDomainFactor = 2
	// maxFullMesh is the largest fleet, in instances, in which each instance exchanges
	// heartbeats with all others. Larger fleets use relays.
	maxFullMesh = 16
	// SilenceTimeout is the time without a heartbeat after which an instance of a small
	// fleet counts as silent. A failure domain counts as silent after the same time without
	// a heartbeat from any of its instances. It exceeds two intervals between messages of
	// different failure domains.
	SilenceTimeout = 500 * time.Millisecond
	// relayInterval is the interval between messages of an instance to a relay of its failure
	// domain in a fleet of up to relayIntervalFleet instances, maxRelayInterval that in the
	// largest fleets. All that an organisation sends until its requests are known everywhere may
	// be admitted, so the interval is short; what a relay has to process limits it.
	relayInterval      = 120 * time.Millisecond
	maxRelayInterval   = 200 * time.Millisecond
	relayIntervalFleet = 100
	// relayedSilenceTimeout is the silence timeout of an instance in a large fleet, whose
	// heartbeats pass through up to two relays. It allows for the delay of each step and
	// two lost messages.
	relayedSilenceTimeout = 1250 * time.Millisecond
)

// timing holds the message intervals and the silence timeout for a fleet of some size.
type timing struct {
	sameDomain, crossDomain time.Duration
	// silenceTimeout is the time without a heartbeat after which an instance counts as
	// silent.
	silenceTimeout time.Duration
}

// timingFor returns the timing for a fleet of the given number of instances.
func timingFor(instances int) timing {
	if instances > maxFullMesh {
		interval := min(maxRelayInterval, max(relayInterval, relayInterval*time.Duration(instances)/relayIntervalFleet))
		return timing{sameDomain: interval, crossDomain: interval, silenceTimeout: relayedSilenceTimeout}
	}
	return timing{sameDomain: sameDomainInterval, crossDomain: crossDomainFactor * sameDomainInterval, silenceTimeout: SilenceTimeout}
}

func (t timing) interval(sameDomain bool) time.Duration {
	if sameDomain {
		return t.sameDomain
	}
	return t.crossDomain
}
