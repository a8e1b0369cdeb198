package mesh

import (
	"cmp"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// relaysPerDomain is the number of relays of a failure domain. One may fail without any
	// effect on the others.
	relaysPerDomain = 2
	// betweenRelays is the interval between messages of two relays.
	betweenRelays = 100 * time.Millisecond
	// partnersMaxAge is how long a choice of partners is reused.
	partnersMaxAge = 100 * time.Millisecond
	// feedAnswerMaxAge is the maximum age of a relay's last answer with which the feed of
	// the next relay is not requested: two intervals and a lost message.
	feedAnswerMaxAge = 600 * time.Millisecond
	// targetListMaxAge is the maximum age of a relay's last answer, and of the store's last
	// answer to that relay, with which an instance relies on the relay for the list of
	// targets.
	targetListMaxAge = time.Second
	// failedRelayBackoff is how long an instance that did not answer is chosen as a relay
	// only if there are no others.
	failedRelayBackoff = 1500 * time.Millisecond
	// maxProbes limits how many instances a relay probes at the same time.
	maxProbes = 8
)

// partner is an instance to send messages to, with the interval between them.
type partner struct {
	Instance
	interval time.Duration
}

// candidate is an instance that may be chosen as a relay.
type candidate struct {
	*entry
	// order is smaller for better candidates, see candidateOrder.
	order int64
}

func (c candidate) before(other candidate) bool {
	if other.entry == nil {
		return true
	}
	return cmp.Or(cmp.Compare(c.order, other.order), cmp.Compare(c.rank, other.rank)) < 0
}

// topCandidates are the best candidates of a failure domain, the best one first.
type topCandidates [relaysPerDomain]candidate

func (t *topCandidates) add(c candidate) {
	for i := range t {
		if c.before(t[i]) {
			c, t[i] = t[i], c
			if c.entry == nil {
				return
			}
		}
	}
}

// currentPartners returns the instances to send messages to in a large fleet.
//
// With some hundred instances a full mesh is too expensive: each instance would either
// spend its processor time on heartbeats to all others, or send them so rarely that a
// failed instance is noticed only after many seconds. So each instance exchanges heartbeats
// with the relays of its own failure domain only, and the relays with those of the other
// domains. Relays pass on what they receive.
//
// The relays are the instances with the highest capacity among those that are up, with ties
// broken by rendezvous hashing. So all instances choose the same relays as soon as they
// know the same instances. Any instance answers a feed request, whether it considers itself
// a relay or not. The caller must hold mu.
func (m *Mesh) currentPartners(now time.Time) []partner {
	if !m.partnersAt.IsZero() && now.Sub(m.partnersAt) < partnersMaxAge {
		return m.partners
	}
	wasRelay := m.isRelay
	m.partnersAt = now
	m.partners = m.choosePartners(now, m.partners[:0])
	if wasRelay != m.isRelay {
		_ = level.Info(m.logger).Log("event", "relay_changed", "relay", m.isRelay, "partners", len(m.partners))
	}
	return m.partners
}

func (m *Mesh) choosePartners(now time.Time, out []partner) []partner {
	domains := map[string]*topCandidates{}
	betterRanked := 0
	own := rankOf(m.self)
	m.view.each(now, func(e *entry, state State) {
		if state == Down {
			return
		}
		if e.Domain == m.self.Domain && state == Up && e.rank < own && !e.heartbeat.Leaving {
			betterRanked++
		}
		top := domains[e.Domain]
		if top == nil {
			top = &topCandidates{}
			domains[e.Domain] = top
		}
		top.add(candidate{e, m.candidateOrder(now, e, state)})
	})
	m.isRelay, m.isFirstRelay = betterRanked < relaysPerDomain, betterRanked == 0
	interval := m.view.timing().sameDomain
	if m.isRelay {
		interval = betweenRelays
	}
	for domain, top := range domains {
		if domain != m.self.Domain && !m.isRelay {
			continue
		}
		for _, c := range top {
			if c.entry != nil {
				out = append(out, partner{c.Instance, interval})
			}
		}
	}
	if m.isRelay {
		out = m.appendProbes(now, out)
	}
	return out
}

// GetsTargetListFromRelay reports whether this instance gets the list of targets through a
// relay instead of reading it from the store. That holds if it is not a relay itself, and
// one of its relays has answered within targetListMaxAge, reads the list, and has had an
// answer from the store within the same time.
//
// Each target renews its entry about once a second. If hundreds of instances read the whole
// list from the store, every renewal would be sent and decoded hundreds of times.
func (m *Mesh) GetsTargetListFromRelay() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.getsTargetListFromRelay(now)
}

// getsTargetListFromRelay is GetsTargetListFromRelay for a caller that holds mu.
func (m *Mesh) getsTargetListFromRelay(now time.Time) bool {
	if !m.view.usesRelays() || m.isRelay {
		return false
	}
	for _, p := range m.partners {
		l := m.link(p.Address)
		if l.readsTargetList && now.Sub(l.answeredAt) < targetListMaxAge && l.storeAge < targetListMaxAge {
			return true
		}
	}
	return false
}

// candidateOrder returns candidate.order: 0 to 3 by the candidate's state, from up to
// leaving. Candidates that did not answer within failedRelayBackoff come last, the one with
// the oldest failure first.
func (m *Mesh) candidateOrder(now time.Time, e *entry, state State) int64 {
	if l := m.links[e.Address]; l != nil && now.Sub(l.failedAt) < failedRelayBackoff {
		return l.failedAt.UnixNano()
	}
	switch {
	case e.heartbeat.Leaving:
		return 3
	case state == Silent:
		return 2
	case state == NeverSeen:
		return 1
	default:
		return 0
	}
}

// appendProbes adds silent instances of the own failure domain. Only a refused connection
// shows that a process does not run, and instances other than relays do not connect to it.
func (m *Mesh) appendProbes(now time.Time, out []partner) []partner {
	remaining := maxProbes
	m.view.each(now, func(e *entry, state State) {
		if remaining == 0 || e.Domain != m.self.Domain || state == Up || state == Down {
			return
		}
		if l := m.link(e.Address); !l.inFlight && !now.Before(l.nextAt) {
			out = append(out, partner{e.Instance, downRetryInterval})
			remaining--
		}
	})
	return out
}
