package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"merlintiller/internal/coordination/routed/quota"
)

// wholeEvery is how many messages go to an instance until it is told all counts
// again, and not only those that changed. A message may be lost.
const wholeEvery = 16

// link is what is known of the messages to one address.
type link struct {
	// busy says that a message is on its way, nextAt when the next one is due.
	busy   bool
	nextAt time.Time
	// start is the life of the instance there, as it told last.
	start int64
	// told are the counts that it was told, messages how many since all were.
	told     quota.Counts
	messages int
}

// due gives the instances to which a message is due.
func (m *Mesh) due(now time.Time) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Instance
	anyUp := false
	pace := m.view.pace()
	m.view.each(now, func(e *entry, state State) {
		anyUp = anyUp || state == Up
		out = m.add(now, out, e.Instance, pace.period(e.Domain == m.self.Domain))
	})
	if !anyUp {
		for _, seed := range m.seeds {
			if seed != m.self.Address {
				out = m.add(now, out, Instance{Address: seed}, pace.near)
			}
		}
	}
	return out
}

func (m *Mesh) add(now time.Time, out []Instance, to Instance, period time.Duration) []Instance {
	l := m.link(to.Address)
	if l.busy || now.Before(l.nextAt) {
		return out
	}
	if l.nextAt.IsZero() {
		// The first messages go out at once, and later ones spread over time.
		period = time.Duration(rand.Int64N(int64(period)))
	}
	l.busy, l.nextAt = true, now.Add(period)
	return append(out, to)
}

func (m *Mesh) link(address string) *link {
	l := m.links[address]
	if l == nil {
		l = &link{}
		m.links[address] = l
	}
	return l
}

// exchange tells an instance of this one and hears of it.
func (m *Mesh) exchange(ctx context.Context, to Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := m.beatFor(to)
	var reply Beat
	err := m.caller.Call(ctx, to.Address, methodExchange, &args, &reply)
	m.mu.Lock()
	l := m.link(to.Address)
	l.busy = false
	if err != nil {
		l.told = nil
		m.failed(to.Address, l, err)
	}
	m.mu.Unlock()
	if err != nil {
		unheard.Inc()
		return
	}
	sent.Inc()
	m.take(reply)
}

// failed notes a message without an answer.
func (m *Mesh) failed(address string, l *link, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.view.Refused(address)
		l.nextAt = time.Now().Add(downRetry)
	}
}

// beatFor tells another instance of this one, without what that knows or has no
// use for.
func (m *Mesh) beatFor(to Instance) Beat {
	beat := m.described(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	beat.Seq, beat.Known = m.seq, m.view.Digest()
	if to.Domain != m.self.Domain {
		// Others ask the broker of this domain.
		beat.Held = nil
	}
	if m.view.informed(to.Name) {
		beat.Levels = nil
	}
	l := m.link(to.Address)
	if to.Start != l.start {
		l.start, l.told = to.Start, nil
	}
	l.trim(&beat)
	return beat
}

// describedFresh is how long a description of this instance serves for all messages.
// It is short beside the time between two messages to the same instance, and saves
// most descriptions in a large fleet.
const describedFresh = 20 * time.Millisecond

// described gives what all instances are told of this one. Its maps and slices are
// shared and must not be changed.
func (m *Mesh) described(now time.Time) Beat {
	m.describing.Lock()
	defer m.describing.Unlock()
	if m.describedAt.IsZero() || now.Sub(m.describedAt) >= describedFresh {
		versions := m.local.Versions()
		m.description = Beat{
			From: m.self, ConfigVersion: versions.Config, RosterMark: versions.RosterMark, StoreAge: versions.StoreAge,
		}
		m.local.Describe(&m.description)
		m.describedAt = now
	}
	return m.description
}

// trim leaves the counts that changed since they were told.
func (l *link) trim(beat *Beat) {
	counts := beat.Admitted
	beat.Whole = l.told == nil || l.messages >= wholeEvery
	l.messages++
	if beat.Whole {
		l.messages = 0
	} else {
		changed := quota.Counts{}
		for org, count := range counts {
			if l.told[org] != count {
				changed[org] = count
			}
		}
		beat.Admitted = changed
	}
	l.told = counts
}

// take takes over a message and fetches what the sender has that is newer.
func (m *Mesh) take(beat Beat) {
	m.mu.Lock()
	fresh := m.view.Heard(time.Now(), beat)
	patience := m.view.pace().patience(beat.From.Domain == m.self.Domain)
	m.mu.Unlock()
	if !fresh {
		return
	}
	m.local.PeerHeard(beat, patience)
	m.catchUp(beat)
}
