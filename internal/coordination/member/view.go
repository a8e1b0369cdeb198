package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// ViewLimits bound whom an instance exchanges heartbeats with. A full mesh of
// 340 instances would spend the whole budget for control on heartbeats.
type ViewLimits struct {
	// OwnDomain is the most partners in the own failure domain.
	OwnDomain int
	// OtherDomain is the most partners in each other failure domain. Two, so
	// that one dead partner doesn't cut the way between the domains.
	OtherDomain int
	// Reachable is how recent the last heartbeat of a reachable peer is.
	Reachable time.Duration
	// Forget is when a silent peer without an open session is dropped.
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

// Known is an instance that the control stream or the settings name.
type Known struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	Address  string
}

type contact struct {
	Known
	// heard is when its last heartbeat came, or when it became known.
	heard time.Time
	// beaten says that a heartbeat of it ever came.
	beaten bool
	// listed says that it has an open session.
	listed bool
	beat   Heartbeat
}

// View is what an instance knows of the others. It is pure and not safe for
// concurrent use. All of it is a hint: it decides whom to ask first, and never
// who is dead.
type View struct {
	own      protocol.InstanceID
	domain   protocol.Domain
	limits   ViewLimits
	contacts map[protocol.InstanceID]*contact
}

// NewView returns a view without peers.
func NewView(own protocol.InstanceID, domain protocol.Domain, limits ViewLimits) *View {
	return &View{own: own, domain: domain, limits: limits, contacts: map[protocol.InstanceID]*contact{}}
}

// Listed takes over the instances with an open session, and drops those that
// have neither a session nor given a sign of life lately.
func (v *View) Listed(now time.Time, known []Known) {
	for _, c := range v.contacts {
		c.listed = false
	}
	for _, k := range known {
		if k.Instance == v.own {
			continue
		}
		c := v.contact(now, k.Instance)
		c.Known = k
		c.listed = true
	}
	for id, c := range v.contacts {
		if !c.listed && now.Sub(c.heard) >= v.limits.Forget {
			delete(v.contacts, id)
		}
	}
}

// Heard takes over a heartbeat.
func (v *View) Heard(now time.Time, beat Heartbeat) {
	if beat.Instance == "" || beat.Instance == v.own {
		return
	}
	c := v.contact(now, beat.Instance)
	c.Known = Known{Instance: beat.Instance, Session: beat.Session, Domain: beat.Domain, Address: beat.Address}
	c.heard = now
	c.beaten = true
	c.beat = beat
	c.beat.Tombstones = nil
}

func (v *View) contact(now time.Time, id protocol.InstanceID) *contact {
	c, ok := v.contacts[id]
	if !ok {
		c = &contact{heard: now}
		v.contacts[id] = c
	}
	return c
}

// Address is the peer address of an instance.
func (v *View) Address(id protocol.InstanceID) (string, bool) {
	c, ok := v.contacts[id]
	if !ok || c.Address == "" {
		return "", false
	}
	return c.Address, true
}

// Peers lists the others, own failure domain first.
func (v *View) Peers(now time.Time) []coordination.Peer {
	peers := make([]coordination.Peer, 0, len(v.contacts))
	for _, c := range v.contacts {
		silent := now.Sub(c.heard)
		peers = append(peers, coordination.Peer{
			Instance:  c.Instance,
			Session:   c.Session,
			Domain:    c.Domain,
			Address:   c.Address,
			Reachable: c.beaten && silent <= v.limits.Reachable,
			Silent:    silent,
		})
	}
	slices.SortFunc(peers, v.compare)
	return peers
}

func (v *View) compare(a, b coordination.Peer) int {
	return cmp.Or(
		cmp.Compare(v.distance(a.Domain), v.distance(b.Domain)),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func (v *View) distance(domain protocol.Domain) int {
	if domain == v.domain {
		return 0
	}
	return 1
}

// Partners are the addresses to send heartbeats to: all of the own failure
// domain and a few of each other one, chosen by rendezvous hashing, so that
// every instance picks others.
func (v *View) Partners() []string {
	byDomain := map[protocol.Domain][]*contact{}
	for _, c := range v.contacts {
		if c.Address != "" {
			byDomain[c.Domain] = append(byDomain[c.Domain], c)
		}
	}
	var addresses []string
	for domain, contacts := range byDomain {
		limit := v.limits.OtherDomain
		if domain == v.domain {
			limit = v.limits.OwnDomain
		}
		slices.SortFunc(contacts, v.byScore)
		for _, c := range contacts[:min(limit, len(contacts))] {
			addresses = append(addresses, c.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (v *View) byScore(a, b *contact) int {
	return cmp.Or(cmp.Compare(v.pair(b.Instance), v.pair(a.Instance)), cmp.Compare(a.Instance, b.Instance))
}

func (v *View) pair(other protocol.InstanceID) uint64 {
	return xxhash.Sum64String(string(v.own) + "\x00" + string(other))
}

// AnyReachable reports whether some peer gave a sign of life lately.
func (v *View) AnyReachable(now time.Time) bool {
	for _, c := range v.contacts {
		if c.beaten && now.Sub(c.heard) <= v.limits.Reachable {
			return true
		}
	}
	return false
}

// Newest is the reachable peer with the newest configuration, if it is newer
// than a version.
func (v *View) Newest(now time.Time, than protocol.Offset) (string, bool) {
	var best *contact
	for _, c := range v.contacts {
		if !c.beaten || !c.beat.Loaded || now.Sub(c.heard) > v.limits.Reachable || c.beat.FleetVersion <= than {
			continue
		}
		if best == nil || newer(c, best) {
			best = c
		}
	}
	if best == nil {
		return "", false
	}
	return best.Address, true
}

func newer(a, b *contact) bool {
	return cmp.Or(
		cmp.Compare(a.beat.FleetVersion, b.beat.FleetVersion),
		cmp.Compare(a.beat.Applied, b.beat.Applied),
		cmp.Compare(b.Instance, a.Instance),
	) > 0
}
