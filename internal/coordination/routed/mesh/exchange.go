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

// fullCountsEvery is the number of messages to a peer after which all counts are sent again
// instead of only the changed ones. A message may be lost.
const fullCountsEvery = 16

// link is the state of the message exchange with one address.
type link struct {
	// inFlight reports that a message awaits its answer. nextAt is when the next message is
	// due.
	inFlight bool
	nextAt   time.Time
	// failedAt is when a message last failed, answeredAt when one was last answered.
	// storeAge and readsTargetList are from that answer.
	failedAt, answeredAt time.Time
	storeAge             time.Duration
	readsTargetList      bool
	// start identifies the incarnation that the sent counts were meant for.
	start int64
	// ackedCounts are the counts that the peer is known to have: those of the last message
	// that it has answered. sinceFull is the number of messages since all counts were sent.
	ackedCounts quota.Counts
	sinceFull   int
	quarantine  quarantineLink
}

// dueExchanges returns the instances to which a message is due, and marks their links as in
// flight.
func (m *Mesh) dueExchanges(now time.Time) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Instance
	anyUp := false
	t := m.view.timing()
	m.view.each(now, func(e *entry, state State) {
		anyUp = anyUp || state == Up
		if !m.view.usesRelays() {
			out = m.appendDue(now, out, e.Instance, t.interval(e.Domain == m.self.Domain))
		}
	})
	if m.view.usesRelays() {
		for _, p := range m.currentPartners(now) {
			out = m.appendDue(now, out, p.Instance, p.interval)
		}
	}
	if !anyUp {
		for _, seed := range m.seeds {
			if seed != m.self.Address {
				out = m.appendDue(now, out, Instance{Address: seed}, t.sameDomain)
			}
		}
	}
	return out
}

func (m *Mesh) appendDue(now time.Time, out []Instance, to Instance, interval time.Duration) []Instance {
	l := m.link(to.Address)
	if l.inFlight || now.Add(m.earlySend()).Before(l.nextAt) {
		return out
	}
	if l.nextAt.IsZero() {
		// The first message goes out at once. The second one is due after a random part of
		// the interval, so that the messages spread over time.
		interval = time.Duration(rand.Int64N(int64(interval)))
	}
	l.inFlight, l.nextAt = true, now.Add(interval)
	return append(out, to)
}

// earlySend is how much before its due time a message may be sent.
func (m *Mesh) earlySend() time.Duration {
	if m.view.usesRelays() && !m.isRelay {
		return m.view.timing().sameDomain / 2
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

// exchange sends a heartbeat to a peer and processes the peer's heartbeat in the answer.
func (m *Mesh) exchange(serving context.Context, to Instance) {
	ctx, cancel := context.WithTimeout(serving, callTimeout)
	defer cancel()
	args, counts := m.heartbeatFor(to, false)
	args.Pull = m.feedRequestFor(to)
	quarantineVersion := m.addQuarantine(&args, to)
	var reply Heartbeat
	err := m.caller.Call(ctx, to.Address, methodExchange, &args, &reply)
	if serving.Err() != nil {
		// The next incarnation may be running. An answer that names it must not make this
		// one take a later start.
		return
	}
	m.mu.Lock()
	l := m.link(to.Address)
	l.inFlight = false
	if err != nil {
		l.ackedCounts, l.failedAt = nil, time.Now()
		m.exchangeFailed(to.Address, l, err)
	} else {
		l.answeredAt, l.storeAge, l.readsTargetList = time.Now(), reply.StoreAge, reply.Reads
		if args.From == m.self && to.Start == l.start {
			l.ackedCounts = counts
			l.quarantineAnswered(quarantineVersion, &reply)
		}
	}
	m.mu.Unlock()
	if err != nil {
		exchangesFailed.Inc()
		return
	}
	exchangesAnswered.Inc()
	if reply.Superseded != 0 {
		m.raiseStart(reply.Superseded)
	}
	m.receive(reply)
}

func (m *Mesh) newerStart(sender Instance) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.NewerStart(sender)
}

// raiseStart moves this instance's start to a later time than the given one, which a peer
// knows from a previous incarnation. The start that this instance has now may be named in an
// answer to a message from before it was raised.
func (m *Mesh) raiseStart(start int64) {
	m.mu.Lock()
	before := m.self.Start
	if start > before {
		m.self.Start = start + 1
		m.view.SetSelf(m.self)
		// Peers drop the counts of the earlier start.
		for _, l := range m.links {
			l.ackedCounts = nil
		}
	}
	after := m.self
	m.mu.Unlock()
	if after.Start == before {
		return
	}
	m.heartbeatMu.Lock()
	m.heartbeatAt = time.Time{}
	m.heartbeatMu.Unlock()
	_ = level.Warn(m.logger).Log("event", "start_raised", "start", after.Start, "before", before)
}

// exchangeFailed marks the peers at an address as down if it refused the connection. The
// caller must hold mu.
func (m *Mesh) exchangeFailed(address string, l *link, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.view.MarkRefused(time.Now(), address)
		l.nextAt = time.Now().Add(downRetryInterval)
	}
}

// heartbeatFor returns the heartbeat for one peer, without the parts that the peer has
// already or does not need, and all counts at that time.
//
// An answer can overtake a message in the same direction; the receiver then ignores the
// message. So a change is repeated in each message and answer until a message with it was
// answered. In a large fleet, where few messages are sent, an answer has all counts.
func (m *Mesh) heartbeatFor(to Instance, isAnswer bool) (heartbeat Heartbeat, counts quota.Counts) {
	heartbeat = m.nextHeartbeat(time.Now())
	counts = heartbeat.Admitted
	m.mu.Lock()
	defer m.mu.Unlock()
	heartbeat.Known = m.view.Digest()
	if to.Domain != m.self.Domain || m.view.usesRelays() {
		// Other failure domains ask the broker of this domain.
		heartbeat.Held = nil
	}
	if !m.view.needsLevels(to) {
		heartbeat.TellsLevels, heartbeat.Levels = false, nil
	}
	l := m.link(to.Address)
	m.quarantineLink(to)
	if m.view.usesRelays() && isAnswer {
		heartbeat.Whole = true
		return heartbeat, counts
	}
	l.trimCounts(&heartbeat)
	return heartbeat, counts
}

// heartbeatMaxAge is how long a heartbeat is reused for messages to several peers. It is
// short compared with the interval between two messages to the same peer. In a large fleet
// it avoids most calls of Delegate.FillHeartbeat.
const heartbeatMaxAge = 20 * time.Millisecond

// nextHeartbeat returns the current heartbeat with the next sequence number. A heartbeat
// with a larger number is never older than one with a smaller number. The heartbeat's maps
// and slices are shared and must not be modified.
func (m *Mesh) nextHeartbeat(now time.Time) Heartbeat {
	m.heartbeatMu.Lock()
	defer m.heartbeatMu.Unlock()
	if m.heartbeatAt.IsZero() || now.Sub(m.heartbeatAt) >= heartbeatMaxAge {
		versions := m.delegate.Versions()
		m.heartbeat = Heartbeat{
			From: m.Self(), Uptime: now.Sub(m.startedAt), Young: now.Sub(m.startedAt) < recentlyStartedFor,
			ConfigVersion: versions.Config, RosterMark: versions.RosterMark, RosterDigest: versions.RosterDigest,
			StoreAge: versions.StoreAge, Reads: !m.GetsTargetListFromRelay(),
		}
		m.delegate.FillHeartbeat(&m.heartbeat)
		m.heartbeatAt = now
	}
	m.seq++
	m.heartbeat.Seq = m.seq
	return m.heartbeat
}

// trimCounts removes the counts that the peer is known to have.
func (l *link) trimCounts(heartbeat *Heartbeat) {
	counts := heartbeat.Admitted
	heartbeat.Whole = l.ackedCounts == nil || l.sinceFull >= fullCountsEvery
	l.sinceFull++
	if heartbeat.Whole {
		l.sinceFull = 0
	} else {
		changed := quota.Counts{}
		for org, count := range counts {
			if l.ackedCounts[org] != count {
				changed[org] = count
			}
		}
		heartbeat.Admitted = changed
	}
}

// receive processes a message and starts fetching what the sender has that is newer.
func (m *Mesh) receive(heartbeat Heartbeat) {
	m.receiveQuarantine(&heartbeat)
	feed := heartbeat.Feed
	heartbeat.Pull, heartbeat.Feed, heartbeat.Quarantine, heartbeat.QuarantineRead = nil, nil, nil, nil
	if m.apply(heartbeat) {
		m.catchUp(heartbeat)
	}
	if feed != nil {
		m.applyFeed(heartbeat.From.Name, feed)
	}
}

// apply records a heartbeat and passes it to the delegate. It returns false if a later
// heartbeat of the sender was received before.
func (m *Mesh) apply(heartbeat Heartbeat) (fresh bool) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	fresh = m.view.ApplyHeartbeat(time.Now(), heartbeat)
	silenceTimeout := m.view.timing().silenceTimeout
	m.mu.Unlock()
	if fresh {
		m.delegate.HeartbeatReceived(heartbeat, silenceTimeout)
	}
	return fresh
}
