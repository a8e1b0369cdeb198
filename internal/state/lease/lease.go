// Package lease replays which session holds each resource.
//
// A lease has no expiry time of its own: it is valid as long as the session of its
// holder is open. The offset of the accepted claim is the fencing number.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// MaxEnded is the number of leases of ended sessions that are kept. Beyond it, the
// leases that ended first are evicted. The leases are kept because a claimer must
// name the holder that it replaces: at a target that doesn't check fencing
// numbers, the claimer must wait until the last order of the replaced holder is
// over. MaxEnded is not a setting because replay depends on it: all instances must
// use the same value.
const MaxEnded = 8192

// Lease is a resource that a session holds, or held until the session ended.
type Lease struct {
	Resource protocol.Resource  `cbor:"1,keyasint"`
	Session  protocol.SessionID `cbor:"2,keyasint"`
	// Fence is the fencing number: the offset of the accepted claim.
	Fence protocol.Offset `cbor:"3,keyasint"`
	// EndedAt is the offset at which the holder's session ended, or NoOffset
	// while it is open.
	EndedAt protocol.Offset `cbor:"4,keyasint"`
	// Instance is the instance that opened the session. It is kept after the
	// session has ended, so that a claimer can ask the process at Address
	// whether the holder has terminated.
	Instance protocol.InstanceID `cbor:"5,keyasint,omitempty"`
	// Address is the holder's peer address. A process with the same instance id
	// at another address may run at the same time as the holder, so it can't
	// say whether the holder has terminated.
	Address string `cbor:"6,keyasint,omitempty"`
}

func (l *Lease) held() bool { return l.EndedAt == protocol.NoOffset }

// Table is the replayed state of all leases. It is not safe for concurrent use.
type Table struct {
	leases map[protocol.Resource]*Lease
	// ended counts the leases whose holder's session has ended.
	ended int
}

// New returns an empty table.
func New() *Table {
	return &Table{leases: map[protocol.Resource]*Lease{}}
}

// Holder returns the session that holds a resource and its fencing number.
func (t *Table) Holder(resource protocol.Resource) (protocol.SessionID, protocol.Offset, bool) {
	lease, ok := t.leases[resource]
	if !ok || !lease.held() {
		return 0, protocol.NoOffset, false
	}
	return lease.Session, lease.Fence, true
}

// Last returns the latest lease of a resource, held or ended by the end of its
// session, unless the lease was released. A claim names the fencing number of
// this lease in Replaces.
func (t *Table) Last(resource protocol.Resource) (Lease, bool) {
	lease, ok := t.leases[resource]
	if !ok {
		return Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset}, false
	}
	return *lease, true
}

// Held returns the leases that a session holds, sorted by resource.
func (t *Table) Held(session protocol.SessionID) []Lease {
	return t.list(func(l *Lease) bool { return l.held() && l.Session == session })
}

// WithPrefix returns the held leases of resources that begin with a prefix, sorted
// by resource.
func (t *Table) WithPrefix(prefix string) []Lease {
	return t.list(func(l *Lease) bool { return l.held() && strings.HasPrefix(string(l.Resource), prefix) })
}

func (t *Table) list(match func(*Lease) bool) []Lease {
	matching := []Lease{}
	for _, lease := range t.leases {
		if match(lease) {
			matching = append(matching, *lease)
		}
	}
	slices.SortFunc(matching, func(a, b Lease) int { return cmp.Compare(a.Resource, b.Resource) })
	return matching
}

// instanceLookup is implemented by session tables that know which instance opened
// a session.
type instanceLookup interface {
	Instance(id protocol.SessionID) (instance protocol.InstanceID, peerAddress string)
}

// Apply implements state.Machine for the lease records.
func (t *Table) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	switch {
	case rec.LeaseClaim != nil:
		verdict := t.applyClaim(at, rec.ID.Session, rec.LeaseClaim)
		if lookup, ok := sessions.(instanceLookup); ok && verdict == protocol.Accepted {
			lease := t.leases[rec.LeaseClaim.Resource]
			lease.Instance, lease.Address = lookup.Instance(rec.ID.Session)
		}
		return verdict
	case rec.LeaseRelease != nil:
		return t.applyRelease(rec.ID.Session, rec.LeaseRelease.Resource)
	}
	return protocol.Malformed
}

func (t *Table) applyClaim(at protocol.Offset, session protocol.SessionID, body *protocol.LeaseClaim) protocol.Verdict {
	if body.Resource == "" {
		return protocol.Malformed
	}
	last, known := t.Last(body.Resource)
	if known && last.held() {
		return protocol.AlreadyHeld
	}
	if last.Fence != body.Replaces {
		return protocol.Conflict
	}
	if known {
		t.ended--
	}
	t.leases[body.Resource] = &Lease{
		Resource: body.Resource,
		Session:  session,
		Fence:    at,
		EndedAt:  protocol.NoOffset,
	}
	return protocol.Accepted
}

func (t *Table) applyRelease(session protocol.SessionID, resource protocol.Resource) protocol.Verdict {
	holder, _, ok := t.Holder(resource)
	if !ok || holder != session {
		return protocol.NotHolder
	}
	delete(t.leases, resource)
	return protocol.Accepted
}

// SessionEnded ends the leases of a session that ended at an offset.
func (t *Table) SessionEnded(at protocol.Offset, session protocol.SessionID) {
	for _, lease := range t.leases {
		if lease.held() && lease.Session == session {
			lease.EndedAt = at
			t.ended++
		}
	}
	t.evictEnded()
}

// evictEnded deletes the leases that ended first, beyond MaxEnded.
func (t *Table) evictEnded() {
	if t.ended <= MaxEnded {
		return
	}
	endedLeases := t.list(func(l *Lease) bool { return !l.held() })
	slices.SortStableFunc(endedLeases, func(a, b Lease) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	for _, lease := range endedLeases[:t.ended-MaxEnded] {
		delete(t.leases, lease.Resource)
	}
	t.ended = MaxEnded
}

// Snapshot is a copy of the full state. Equal states encode to equal bytes.
type Snapshot struct {
	Leases []Lease `cbor:"1,keyasint"`
}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{Leases: t.list(func(*Lease) bool { return true })}
}

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Table {
	t := New()
	for _, lease := range s.Leases {
		t.leases[lease.Resource] = &lease
		if !lease.held() {
			t.ended++
		}
	}
	return t
}
