package mesh

import (
	"time"

	"github.com/go-kit/log/level"
)

var stateNames = map[State]string{NeverSeen: "listed", Up: "up", Silent: "silent", Down: "down"}

// reportChanges reports to the delegate which states have changed, also by the passing of
// time.
func (m *Mesh) reportChanges() {
	now := time.Now()
	m.mu.Lock()
	removed := m.view.Forget(now)
	changed := m.changedPeers(now)
	domains := m.view.SilentDomains(now)
	fleetKnown := m.fleetKnown
	for _, p := range removed {
		delete(m.links, p.Address)
		delete(m.feedReaders, p.Name)
	}
	m.mu.Unlock()
	for domain, silent := range domains {
		m.reportDomain(domain, silent)
	}
	for _, p := range removed {
		m.reportPeer(Peer{Instance: p, State: Down})
		delete(m.reportedStates, p.Name)
	}
	for _, p := range changed {
		m.reportedStates[p.Name] = p.State
		m.reportPeer(p)
	}
	if fleetKnown {
		m.delegate.FleetKnown()
	}
}

// changedPeers returns the peers whose state differs from the one reported last.
func (m *Mesh) changedPeers(now time.Time) []Peer {
	var out []Peer
	m.view.each(now, func(e *entry, state State) {
		if previous, known := m.reportedStates[e.Name]; !known || previous != state {
			out = append(out, e.peer(state))
		}
	})
	return out
}

func (m *Mesh) reportDomain(domain string, silent bool) {
	if m.reportedSilent[domain] != silent {
		m.reportedSilent[domain] = silent
		_ = level.Info(m.logger).Log("event", "domain_silent", "domain", domain, "silent", silent)
	}
	m.delegate.SetDomainSilent(domain, silent)
}

func (m *Mesh) reportPeer(p Peer) {
	_ = level.Info(m.logger).Log("event", "peer_state", "peer", p.Name, "domain", p.Domain, "state", stateNames[p.State],
		"heard", p.LastSeen.UnixMilli(), "seq", p.Heartbeat.Seq)
	switch p.State {
	case NeverSeen:
		m.delegate.PeerDiscovered(p.Name)
	case Silent:
		m.delegate.PeerSilent(p.Instance)
	case Down:
		m.delegate.PeerDown(p.Name)
	case Up:
	}
}
