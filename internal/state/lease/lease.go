// Package lease replays which session holds a resource.
//
// A lease has no clock of its own: it lasts as long as its holder's session,
// and the offset of the winning claim is its fencing number.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// MaxEnded is how many leases of ended sessions are remembered, those that
// ended first forgotten first. A claimer has to name the holder that it
// replaces, since at a target that doesn't check fencing numbers it must wait
// until the replaced holder's last order is over. It is part of the replayed
// rules, so it is no setting.
const MaxEnded = 8192

// Lease is one held resource, or one whose holder's session has ended.
type Lease struct {
	Resource protocol.Resource  `cbor:"1,keyasint"`
	Session  protocol.SessionID `cbor:"2,keyasint"`
	// Fence is the offset of the winning claim.
	Fence protocol.Offset `cbor:"3,keyasint"`
	// EndedAt is where the holder's session ended, NoOffset while it is open.
	EndedAt protocol.Offset `cbor:"4,keyasint"`
	// Instance is whose session it is. It outlives the session, so that a
	// claimer can ask the process at its address whether the holder is gone.
	Instance protocol.InstanceID `cbor:"5,keyasint,omitempty"`
	// Address is the holder's peer address: a process with the same instance id
	// at another address may run beside the holder and can't speak for it.
	Address string `cbor:"6,keyasint,omitempty"`
}

func (l *Lease) held() bool { return l.EndedAt == protocol.NoOffset }

// Table is the replayed state. It is not safe for concurrent use.
type Table struct {
	leases map[protocol.Resource]*Lease
	// ended counts the leases whose holder's session has ended.
	ended int
}

// New returns the empty state.
func New() *Table {
	return &Table{leases: map[protocol.Resource]*Lease{}}
}

// Holder returns the session that holds a resource with its fencing number.
func (t *Table) Holder(resource protocol.Resource) (protocol.SessionID, protocol.Offset, bool) {
	lease, ok := t.leases[resource]
	if !ok || !lease.held() {
		return 0, protocol.NoOffset, false
	}
	return lease.Session, lease.Fence, true
}

// Last returns the latest lease of a resource that was not released, held or
// ended. A claim names its fencing number in Replaces.
func (t *Table) Last(resource protocol.Resource) (Lease, bool) {
	lease, ok := t.leases[resource]
	if !ok {
		return Lease{Fence: protocol.NoOffset, EndedAt: protocol.NoOffset}, false
	}
	return *lease, true
}

// Held returns what a session holds, sorted by resource.
func (t *Table) Held(session protocol.SessionID) []Lease {
	return t.list(func(l *Lease) bool { return l.held() && l.Session == session })
}

// WithPrefix returns the held resources that begin with a prefix, sorted.
func (t *Table) WithPrefix(prefix string) []Lease {
	return t.list(func(l *Lease) bool { return l.held() && strings.HasPrefix(string(l.Resource), prefix) })
}

func (t *Table) list(want func(*Lease) bool) []Lease {
	found := []Lease{}
	for _, lease := range t.leases {
		if want(lease) {
			found = append(found, *lease)
		}
	}
	slices.SortFunc(found, func(a, b Lease) int { return cmp.Compare(a.Resource, b.Resource) })
	return found
}

// instances tells whose a session is, if the sessions know it.
type instances interface {
	Instance(id protocol.SessionID) (instance protocol.InstanceID, peerAddress string)
}

// Apply implements state.Machine for the lease records.
func (t *Table) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	switch {
	case rec.LeaseClaim != nil:
		verdict := t.applyClaim(at, rec.ID.Session, rec.LeaseClaim)
		if known, ok := sessions.(instances); ok && verdict == protocol.Accepted {
			lease := t.leases[rec.LeaseClaim.Resource]
			lease.Instance, lease.Address = known.Instance(rec.ID.Session)
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

// SessionEnded frees what a session held, at the offset where it ended.
func (t *Table) SessionEnded(at protocol.Offset, session protocol.SessionID) {
	for _, lease := range t.leases {
		if lease.held() && lease.Session == session {
			lease.EndedAt = at
			t.ended++
		}
	}
	t.forget()
}

func (t *Table) forget() {
	if t.ended <= MaxEnded {
		return
	}
	old := t.list(func(l *Lease) bool { return !l.held() })
	slices.SortStableFunc(old, func(a, b Lease) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	for _, lease := range old[:t.ended-MaxEnded] {
		delete(t.leases, lease.Resource)
	}
	t.ended = MaxEnded
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states.
type Snapshot struct {
	Leases []Lease `cbor:"1,keyasint"`
}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{Leases: t.list(func(*Lease) bool { return true })}
}

// Restore makes the state that a snapshot was taken of.
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
