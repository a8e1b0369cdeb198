package mesh

import (
	"time"

	"github.com/go-kit/log/level"
)

var stateNames = map[State]string{Unheard: "listed", Up: "up", Silent: "silent", Down: "down"}

// settle tells what changed by the passing of time.
func (m *Mesh) settle() {
	now := time.Now()
	m.mu.Lock()
	gone := m.view.Forget(now)
	peers := m.view.Peers(now)
	domains := m.view.SilentDomains(now)
	for _, p := range gone {
		delete(m.links, p.Address)
	}
	m.mu.Unlock()
	for domain, silent := range domains {
		m.domain(domain, silent)
	}
	for _, p := range gone {
		m.changed(Peer{Instance: p, State: Down})
		delete(m.states, p.Name)
	}
	for _, p := range peers {
		if was, known := m.states[p.Name]; !known || was != p.State {
			m.states[p.Name] = p.State
			m.changed(p)
		}
	}
}

func (m *Mesh) domain(domain string, silent bool) {
	if m.silent[domain] != silent {
		m.silent[domain] = silent
		_ = level.Info(m.logger).Log("event", "domain_silent", "domain", domain, "silent", silent)
	}
	m.local.DomainSilent(domain, silent)
}

func (m *Mesh) changed(p Peer) {
	_ = level.Info(m.logger).Log("event", "peer_state", "peer", p.Name, "domain", p.Domain, "state", stateNames[p.State],
		"heard", p.Heard.UnixMilli(), "seq", p.Beat.Seq)
	switch p.State {
	case Unheard:
		m.local.PeerListed(p.Name)
	case Silent:
		m.local.PeerSilent(p.Name)
	case Down:
		m.local.PeerGone(p.Name)
	case Up:
	}
}
