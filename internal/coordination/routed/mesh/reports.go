package mesh

import (
	"time"

	"merlintiller/internal/coordination/routed/quarantine"
)

// quarantineLink is the state of the exchange of quarantine reports with one address. Reports go
// with messages and with answers. They are repeated until the message was answered, or the next
// message says that the answer was read.
type quarantineLink struct {
	// sent is the version of this instance's reports that the peer is known to have.
	sent uint64
	// read is how far this instance has read the reports of the peer.
	read quarantine.Position
}

// addQuarantine adds to a message what the peer does not have yet, and requests the peer's news. It
// returns the version that the peer has once it has answered.
func (m *Mesh) addQuarantine(args *Heartbeat, to Instance) (version uint64) {
	m.mu.Lock()
	state, ownEnds := m.link(to.Address).quarantine, m.tellsOwnEnds(to)
	// The relays of a domain know the same.
	if !m.view.usesRelays() || !m.earlierRelayAnswered(time.Now(), to) {
		args.QuarantineRead = &state.read
	}
	m.mu.Unlock()
	args.Quarantine = m.delegate.QuarantineSince(state.sent, ownEnds)
	if args.Quarantine == nil {
		return state.sent
	}
	return args.Quarantine.Version
}

// tellsOwnEnds reports whether an instance is told only of those ended targets that this one has seen
// itself. Relays tell each other the rest; an incarnation that has just started is told all. The caller
// holds mu.
func (m *Mesh) tellsOwnEnds(to Instance) bool {
	return m.view.usesRelays() && !m.isRelay && m.link(to.Address).quarantine.sent > 0
}

// answerQuarantine adds to an answer what the sender of a message has not read yet.
func (m *Mesh) answerQuarantine(args, reply *Heartbeat) {
	if args.QuarantineRead == nil {
		return
	}
	version := args.QuarantineRead.Version
	if args.QuarantineRead.Start != reply.From.Start {
		version = 0
	}
	m.mu.Lock()
	m.quarantineLink(args.From).sent = version
	m.mu.Unlock()
	reply.Quarantine = m.delegate.QuarantineSince(version, false)
}

// quarantineAnswered records that a message was answered. The caller must hold mu.
func (l *link) quarantineAnswered(version uint64, reply *Heartbeat) {
	l.quarantine.sent = max(l.quarantine.sent, version)
	if reply.Quarantine != nil {
		l.quarantine.read = quarantine.Position{Start: reply.From.Start, Version: reply.Quarantine.Version}
	}
}

// receiveQuarantine passes the report in a message on. Unlike a heartbeat, a report counts even if
// a later message was received before.
func (m *Mesh) receiveQuarantine(heartbeat *Heartbeat) {
	if heartbeat.Quarantine != nil {
		m.delegate.QuarantineReceived(heartbeat.From.Name, heartbeat.Quarantine)
	}
}
