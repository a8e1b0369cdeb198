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
	changed := m.changes(now)
	domains := m.view.SilentDomains(now)
	for _, p := range gone {
		delete(m.links, p.Address)
		delete(m.intakes, p.Name)
	}
	m.mu.Unlock()
	for domain, silent := range domains {
		m.domain(domain, silent)
	}
	for _, p := range gone {
		m.changed(Peer{Instance: p, State: Down})
		delete(m.states, p.Name)
	}
	for _, p := range changed {
		m.states[p.Name] = p.State
		m.changed(p)
	}
}

// changes gives the instances that are in another state than was told last.
func (m *Mesh) changes(now time.Time) []Peer {
	var out []Peer
	m.view.each(now, func(e *entry, state State) {
		if was, known := m.states[e.Name]; !known || was != state {
			out = append(out, e.peer(state))
		}
	})
	return out
}

func (m *Mesh) domain(domain string, silent bool) {
	if m.silent[domain] != silent {
		m.silent[domain] = silent
		_ = level.Info(m.logger).Log("event", "domain_silent", "domain", domain, "silent", silent)
	}
	m.local.SetDomainSilent(domain, silent)
}

func (m *Mesh) changed(p Peer) {
	_ = level.Info(m.logger).Log("event", "peer_state", "peer", p.Name, "domain", p.Domain, "state", stateNames[p.State],
		"heard", p.Heard.UnixMilli(), "seq", p.Heartbeat.Seq)
	switch p.State {
	case Unheard:
		m.local.PeerDiscovered(p.Name)
	case Silent:
		m.local.PeerSilent(p.Instance)
	case Down:
		m.local.PeerDown(p.Name)
	case Up:
	}
}
