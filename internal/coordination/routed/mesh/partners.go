package mesh

import (
	"cmp"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// relays is how many instances of a failure domain the others speak to. One may be
	// lost without anybody noticing.
	relays = 2
	// relayEvery is the period of messages to a relay, inside a failure domain and
	// between the relays of two.
	relayEvery = 200 * time.Millisecond
	// partnersFresh is how long a choice of partners counts.
	partnersFresh = 100 * time.Millisecond
	// pullFresh is how old the answer of a relay may be for the next one not to be asked
	// what it has heard: two periods and a lost message.
	pullFresh = 600 * time.Millisecond
	// followFresh is how old a relay's answer may be, and the store's to the relay, for an
	// instance to rely on it.
	followFresh = time.Second
	// avoidFor is how long an instance that did not answer is no relay while there
	// are others.
	avoidFor = 1500 * time.Millisecond
	// mostProbes bounds the instances that a relay asks at once whether they are there.
	mostProbes = 8
)

// partner is an instance that messages go to, with their period.
type partner struct {
	Instance
	period time.Duration
}

// candidate is an instance that may be a relay.
type candidate struct {
	*entry
	// order is smaller for better ones: those that are heard before those that are
	// not, and last those that did not answer, the longest ago first.
	order int64
}

func (c candidate) before(other candidate) bool {
	if other.entry == nil {
		return true
	}
	return cmp.Or(cmp.Compare(c.order, other.order), cmp.Compare(c.rank, other.rank)) < 0
}

// best are the first candidates of a failure domain, the best one first.
type best [relays]candidate

func (b *best) offer(c candidate) {
	for i := range b {
		if c.before(b[i]) {
			c, b[i] = b[i], c
			if c.entry == nil {
				return
			}
		}
	}
}

// partners gives the instances that a large fleet's messages go to.
//
// The load it answers: with some hundred instances, each would spend its processor on
// telling all others of itself, or tell them so seldom that a lost one is noticed
// after many seconds. So each speaks to the relays of its failure domain only, and
// these speak to those of the other domains. Relays pass on what they hear. They are
// the strongest instances of those that are heard, equal ones by rendezvous hashing, so
// that all choose the same ones as soon as they know the same instances. Any instance that is
// asked passes on what it knows, whoever takes it for a relay.
func (m *Mesh) partners(now time.Time) []partner {
	if !m.chosenAt.IsZero() && now.Sub(m.chosenAt) < partnersFresh {
		return m.chosen
	}
	was := m.relay
	m.chosenAt = now
	m.chosen = m.choose(now, m.chosen[:0])
	if was != m.relay {
		_ = level.Info(m.logger).Log("event", "relay_changed", "relay", m.relay, "partners", len(m.chosen))
	}
	return m.chosen
}

func (m *Mesh) choose(now time.Time, out []partner) []partner {
	domains := map[string]*best{}
	ahead := 0
	own := rankOf(m.self)
	m.view.each(now, func(e *entry, state State) {
		if state == Down {
			return
		}
		if e.Domain == m.self.Domain && state == Up && e.rank < own && !e.beat.Leaving {
			ahead++
		}
		found := domains[e.Domain]
		if found == nil {
			found = &best{}
			domains[e.Domain] = found
		}
		found.offer(candidate{e, m.order(now, e, state)})
	})
	m.relay = ahead < relays
	for domain, found := range domains {
		if domain != m.self.Domain && !m.relay {
			continue
		}
		for _, c := range found {
			if c.entry != nil {
				out = append(out, partner{c.Instance, relayEvery})
			}
		}
	}
	if m.relay {
		out = m.probes(now, out)
	}
	return out
}

// GetsTargetListFromRelay says that this instance learns through relays what the store's list of targets
// holds: it is no relay itself, and one of its relays answered it a moment ago, reads the
// list and is answered by the store.
//
// The load it answers: each target renews its entry about once a second. With hundreds of
// instances that each read all of it, every renewal is sent and decoded hundreds of times.
func (m *Mesh) GetsTargetListFromRelay() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follows(now)
}

// follows needs the lock.
func (m *Mesh) follows(now time.Time) bool {
	if !m.view.large() || m.relay {
		return false
	}
	for _, p := range m.chosen {
		l := m.link(p.Address)
		if l.reads && now.Sub(l.answeredAt) < followFresh && l.storeAge < followFresh {
			return true
		}
	}
	return false
}

// order sorts candidates, see candidate.
func (m *Mesh) order(now time.Time, e *entry, state State) int64 {
	if l := m.links[e.Address]; l != nil && now.Sub(l.failedAt) < avoidFor {
		return l.failedAt.UnixNano()
	}
	switch {
	case e.beat.Leaving:
		return 3
	case state == Silent:
		return 2
	case state == Unheard:
		return 1
	default:
		return 0
	}
}

// probes adds instances of the own failure domain that are not heard. Only a refused
// connection shows that a process is not there, and nobody else tries one.
func (m *Mesh) probes(now time.Time, out []partner) []partner {
	left := mostProbes
	m.view.each(now, func(e *entry, state State) {
		if left == 0 || e.Domain != m.self.Domain || state == Up || state == Down {
			return
		}
		if l := m.link(e.Address); !l.busy && !now.Before(l.nextAt) {
			out = append(out, partner{e.Instance, downRetry})
			left--
		}
	})
	return out
}
