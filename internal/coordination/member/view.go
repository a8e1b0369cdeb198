package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// ViewLimits limit the number of peers that an instance exchanges heartbeats with
// and the time it remembers them. A full mesh of 340 instances would spend the
// whole traffic budget for coordination on heartbeats.
type ViewLimits struct {
	// OwnDomain is the maximum number of partners in the instance's failure domain.
	OwnDomain int
	// OtherDomain is the maximum number of partners in each other failure domain.
	// The default is two, so that one terminated partner doesn't interrupt the
	// exchange between the domains.
	OtherDomain int
	// Reachable is the maximum age of the last heartbeat of a reachable peer.
	Reachable time.Duration
	// Forget is the time without heartbeats after which a peer without an open
	// session is dropped.
	Forget time.Duration
}

// DefaultViewLimits returns the defaults.
func DefaultViewLimits() ViewLimits {
	return ViewLimits{
		OwnDomain:   64,
		OtherDomain: 2,
		Reachable:   3 * time.Second,
		Forget:      time.Minute,
	}
}

// KnownInstance is an instance that has an open session or has sent a heartbeat.
type KnownInstance struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	Address  string
}

// peerEntry is the state that a View keeps about one peer.
type peerEntry struct {
	KnownInstance
	// lastSeen is the time of the last heartbeat, or the time when the peer became
	// known.
	lastSeen time.Time
	// heartbeatReceived reports whether the peer has ever sent a heartbeat.
	heartbeatReceived bool
	// hasSession reports whether the peer has an open session.
	hasSession    bool
	lastHeartbeat Heartbeat
}

// View holds an instance's knowledge of its peers. It does no I/O and is not safe
// for concurrent use. All of it is a hint: it decides which peers to call first,
// and never proves that an instance is down.
type View struct {
	own    protocol.InstanceID
	domain protocol.Domain
	limits ViewLimits
	peers  map[protocol.InstanceID]*peerEntry
}

// NewView returns a view without peers.
func NewView(own protocol.InstanceID, domain protocol.Domain, limits ViewLimits) *View {
	return &View{own: own, domain: domain, limits: limits, peers: map[protocol.InstanceID]*peerEntry{}}
}

// UpdateSessions sets the instances that have an open session. It drops peers that
// have neither an open session nor a heartbeat within ViewLimits.Forget.
func (v *View) UpdateSessions(now time.Time, known []KnownInstance) {
	for _, p := range v.peers {
		p.hasSession = false
	}
	for _, k := range known {
		if k.Instance == v.own {
			continue
		}
		p := v.entry(now, k.Instance)
		p.KnownInstance = k
		p.hasSession = true
	}
	for id, p := range v.peers {
		if !p.hasSession && now.Sub(p.lastSeen) >= v.limits.Forget {
			delete(v.peers, id)
		}
	}
}

// RecordHeartbeat records a heartbeat that a peer sent.
func (v *View) RecordHeartbeat(now time.Time, heartbeat Heartbeat) {
	if heartbeat.Instance == "" || heartbeat.Instance == v.own {
		return
	}
	p := v.entry(now, heartbeat.Instance)
	p.KnownInstance = KnownInstance{Instance: heartbeat.Instance, Session: heartbeat.Session, Domain: heartbeat.Domain, Address: heartbeat.Address}
	p.lastSeen = now
	p.heartbeatReceived = true
	p.lastHeartbeat = heartbeat
	// The receiver merges the tombstones separately; keeping them here would only
	// occupy memory.
	p.lastHeartbeat.Tombstones = nil
}

func (v *View) entry(now time.Time, id protocol.InstanceID) *peerEntry {
	p, ok := v.peers[id]
	if !ok {
		p = &peerEntry{lastSeen: now}
		v.peers[id] = p
	}
	return p
}

// Address returns the peer address of an instance. It returns false if the address
// is not known.
func (v *View) Address(id protocol.InstanceID) (string, bool) {
	p, ok := v.peers[id]
	if !ok || p.Address == "" {
		return "", false
	}
	return p.Address, true
}

// Peers returns the known peers, those in the instance's failure domain first.
func (v *View) Peers(now time.Time) []coordination.Peer {
	peers := make([]coordination.Peer, 0, len(v.peers))
	for _, p := range v.peers {
		silent := now.Sub(p.lastSeen)
		peers = append(peers, coordination.Peer{
			Instance:  p.Instance,
			Session:   p.Session,
			Domain:    p.Domain,
			Address:   p.Address,
			Reachable: p.heartbeatReceived && silent <= v.limits.Reachable,
			Silent:    silent,
		})
	}
	slices.SortFunc(peers, v.comparePeers)
	return peers
}

func (v *View) comparePeers(a, b coordination.Peer) int {
	return cmp.Or(
		cmp.Compare(v.domainOrder(a.Domain), v.domainOrder(b.Domain)),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func (v *View) domainOrder(domain protocol.Domain) int {
	if domain == v.domain {
		return 0
	}
	return 1
}

// Partners returns the addresses to send heartbeats to: up to ViewLimits.OwnDomain
// in the instance's failure domain and up to ViewLimits.OtherDomain in each other
// one. Rendezvous hashing chooses them, so that instances choose different
// partners.
func (v *View) Partners() []string {
	byDomain := map[protocol.Domain][]*peerEntry{}
	for _, p := range v.peers {
		if p.Address != "" {
			byDomain[p.Domain] = append(byDomain[p.Domain], p)
		}
	}
	var addresses []string
	for domain, peers := range byDomain {
		limit := v.limits.OtherDomain
		if domain == v.domain {
			limit = v.limits.OwnDomain
		}
		slices.SortFunc(peers, v.byScore)
		for _, p := range peers[:min(limit, len(peers))] {
			addresses = append(addresses, p.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (v *View) byScore(a, b *peerEntry) int {
	return cmp.Or(cmp.Compare(v.partnerScore(b.Instance), v.partnerScore(a.Instance)), cmp.Compare(a.Instance, b.Instance))
}

func (v *View) partnerScore(other protocol.InstanceID) uint64 {
	return xxhash.Sum64String(string(v.own) + "\x00" + string(other))
}

// AnyReachable reports whether any peer has sent a heartbeat within
// ViewLimits.Reachable.
func (v *View) AnyReachable(now time.Time) bool {
	for _, p := range v.peers {
		if p.heartbeatReceived && now.Sub(p.lastSeen) <= v.limits.Reachable {
			return true
		}
	}
	return false
}

// NewestConfigPeer returns the address of the reachable peer with the newest
// configuration. It returns false if no reachable peer has a configuration newer
// than version.
func (v *View) NewestConfigPeer(now time.Time, version protocol.Offset) (string, bool) {
	var best *peerEntry
	for _, p := range v.peers {
		if !p.heartbeatReceived || !p.lastHeartbeat.Loaded || now.Sub(p.lastSeen) > v.limits.Reachable || p.lastHeartbeat.FleetVersion <= version {
			continue
		}
		if best == nil || hasNewerConfig(p, best) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.Address, true
}

func hasNewerConfig(a, b *peerEntry) bool {
	return cmp.Or(
		cmp.Compare(a.lastHeartbeat.FleetVersion, b.lastHeartbeat.FleetVersion),
		cmp.Compare(a.lastHeartbeat.Applied, b.lastHeartbeat.Applied),
		cmp.Compare(b.Instance, a.Instance),
	) > 0
}
