package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

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
	// failedAt is when a message stayed without an answer last, answeredAt when one came,
	// and storeAge what it said.
	failedAt, answeredAt time.Time
	storeAge             time.Duration
	reads                bool
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
		if !m.view.large() {
			out = m.add(now, out, e.Instance, pace.period(e.Domain == m.self.Domain))
		}
	})
	if m.view.large() {
		for _, p := range m.partners(now) {
			out = m.add(now, out, p.Instance, p.period)
		}
	}
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
	if l.busy || now.Add(m.slack()).Before(l.nextAt) {
		return out
	}
	if l.nextAt.IsZero() {
		// The first messages go out at once, and later ones spread over time.
		period = time.Duration(rand.Int64N(int64(period)))
	}
	l.busy, l.nextAt = true, now.Add(period)
	return append(out, to)
}

// slack is how much too early a message may go.
func (m *Mesh) slack() time.Duration {
	if m.view.large() && !m.relay {
		return relayedTickEvery / 2
	}
	return 0
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
	args := m.beatFor(to, false)
	args.Pull = m.pull(to)
	var reply Heartbeat
	err := m.caller.Call(ctx, to.Address, methodExchange, &args, &reply)
	m.mu.Lock()
	l := m.link(to.Address)
	l.busy = false
	if err != nil {
		l.told, l.failedAt = nil, time.Now()
		m.failed(to.Address, l, err)
	} else {
		l.answeredAt, l.storeAge, l.reads = time.Now(), reply.StoreAge, reply.Reads
	}
	m.mu.Unlock()
	if err != nil {
		unheard.Inc()
		return
	}
	sent.Inc()
	if reply.Superseded != 0 {
		m.outlive(reply.Superseded)
	}
	m.take(reply)
}

func (m *Mesh) superseded(sender Instance) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Superseded(sender)
}

// outlive gives this life a later start than one that others know of this instance.
func (m *Mesh) outlive(start int64) {
	m.mu.Lock()
	before := m.self.Start
	if start >= before {
		m.self.Start = start + 1
		m.view.SetSelf(m.self)
	}
	after := m.self
	m.mu.Unlock()
	if after.Start == before {
		return
	}
	m.describing.Lock()
	m.describedAt = time.Time{}
	m.describing.Unlock()
	_ = level.Warn(m.logger).Log("event", "start_raised", "start", after.Start, "before", before)
}

// failed notes a message without an answer.
func (m *Mesh) failed(address string, l *link, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.view.Refused(time.Now(), address)
		l.nextAt = time.Now().Add(downRetry)
	}
}

// beatFor tells another instance of this one, without what that knows or has no
// use for. In a large fleet an answer tells all counts: it may overtake a message that
// goes the same way, and what only that one told would be lost.
func (m *Mesh) beatFor(to Instance, answers bool) Heartbeat {
	beat := m.described(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	beat.Known = m.view.Digest()
	if to.Domain != m.self.Domain || m.view.large() {
		// Others ask the broker of this domain.
		beat.Held = nil
	}
	if m.view.informed(to) {
		beat.TellsLevels, beat.Levels = false, nil
	}
	l := m.link(to.Address)
	if to.Start != l.start {
		l.start, l.told = to.Start, nil
	}
	if m.view.large() && answers {
		beat.Whole = true
		return beat
	}
	l.trim(&beat)
	return beat
}

// describedFresh is how long a description of this instance serves for all messages.
// It is short beside the time between two messages to the same instance, and saves
// most descriptions in a large fleet.
const describedFresh = 20 * time.Millisecond

// described gives what all instances are told of this one, with the number of the
// message: one with a larger number never tells less. Its maps and slices are shared and
// must not be changed.
func (m *Mesh) described(now time.Time) Heartbeat {
	m.describing.Lock()
	defer m.describing.Unlock()
	if m.describedAt.IsZero() || now.Sub(m.describedAt) >= describedFresh {
		versions := m.local.Versions()
		m.description = Heartbeat{
			From: m.Self(), Uptime: now.Sub(m.began), Young: now.Sub(m.began) < youngFor,
			ConfigVersion: versions.Config, RosterMark: versions.RosterMark, RosterDigest: versions.RosterDigest,
			StoreAge: versions.StoreAge, Reads: !m.GetsTargetListFromRelay(),
		}
		m.local.FillHeartbeat(&m.description)
		m.describedAt = now
	}
	m.seq++
	m.description.Seq = m.seq
	return m.description
}

// trim leaves the counts that changed since they were told.
func (l *link) trim(beat *Heartbeat) {
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
func (m *Mesh) take(beat Heartbeat) {
	feed := beat.Feed
	beat.Pull, beat.Feed = nil, nil
	if m.hear(beat) {
		m.catchUp(beat)
	}
	if feed != nil {
		m.takeFeed(beat.From.Name, feed)
	}
}

// hear takes over what an instance tells of itself.
func (m *Mesh) hear(beat Heartbeat) (fresh bool) {
	m.applying.Lock()
	defer m.applying.Unlock()
	m.mu.Lock()
	fresh = m.view.Heard(time.Now(), beat)
	patience := m.view.pace().silentAfter
	m.mu.Unlock()
	if fresh {
		m.local.HeartbeatReceived(beat, patience)
	}
	return fresh
}
