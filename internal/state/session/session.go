// Package session replays which sessions are open.
//
// A session is the incarnation of an instance. Whatever an instance holds
// exclusively depends on its session: one renewal keeps all of it and one expiry
// releases all of it.
package session

import (
	"cmp"
	"slices"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// MaxEnded is the number of ended sessions that are kept; beyond it, the oldest are
// evicted. They are kept because a late copy of an ended session's open record
// would open the session again, and an instance that terminated long ago would
// appear to be running. At 463 restarts and crashes a day the ended sessions of
// more than a week are kept, far longer than an append can be delayed. MaxEnded is
// not a setting because replay depends on it: instances with different values
// would have different states.
const MaxEnded = 4096

// Info describes an open session.
type Info struct {
	Session       protocol.SessionID  `cbor:"1,keyasint"`
	Instance      protocol.InstanceID `cbor:"2,keyasint"`
	Domain        protocol.Domain     `cbor:"3,keyasint"`
	PeerAddress   string              `cbor:"4,keyasint"`
	CallerAddress string              `cbor:"5,keyasint"`
	OpenedAt      protocol.Offset     `cbor:"6,keyasint"`
	// LastRenewal is the offset of the latest renewal, or of the open record.
	LastRenewal protocol.Offset `cbor:"7,keyasint"`
	// Seq is the highest sequence number among the session's records so far.
	Seq uint64 `cbor:"8,keyasint"`
}

// Table is the replayed state of all sessions. It is not safe for concurrent use.
type Table struct {
	open  map[protocol.SessionID]*Info
	ended map[protocol.SessionID]bool
	// endedOrder lists the ended sessions, the oldest first.
	endedOrder []protocol.SessionID
}

// New returns an empty table.
func New() *Table {
	return &Table{
		open:  map[protocol.SessionID]*Info{},
		ended: map[protocol.SessionID]bool{},
	}
}

// Open reports whether the session is open.
func (t *Table) Open(id protocol.SessionID) bool {
	_, ok := t.open[id]
	return ok
}

// Ended reports whether the session is among the kept ended sessions.
func (t *Table) Ended(id protocol.SessionID) bool { return t.ended[id] }

// Get returns an open session.
func (t *Table) Get(id protocol.SessionID) (Info, bool) {
	info, ok := t.open[id]
	if !ok {
		return Info{}, false
	}
	return *info, true
}

// Instance returns the instance of an open session and its peer address. Both are
// empty if the session is not open.
func (t *Table) Instance(id protocol.SessionID) (instance protocol.InstanceID, peerAddress string) {
	info, _ := t.Get(id)
	return info.Instance, info.PeerAddress
}

// All returns the open sessions in the order in which they were opened.
func (t *Table) All() []Info {
	all := make([]Info, 0, len(t.open))
	for _, info := range t.open {
		all = append(all, *info)
	}
	slices.SortFunc(all, compareByOpening)
	return all
}

func compareByOpening(a, b Info) int {
	return cmp.Or(cmp.Compare(a.OpenedAt, b.OpenedAt), cmp.Compare(a.Session, b.Session))
}

// ByInstance returns the open sessions of an instance, the newest last. There are
// several while the session of an earlier process of the instance has not expired
// yet.
func (t *Table) ByInstance(id protocol.InstanceID) []Info {
	all := t.All()
	return slices.DeleteFunc(all, func(info Info) bool { return info.Instance != id })
}

// IsDuplicate reports whether a record of an open session was applied before. A
// writer numbers its records in increasing order, so a record up to the highest
// applied number is a duplicate.
func (t *Table) IsDuplicate(id protocol.RecordID) bool {
	info, ok := t.open[id.Session]
	return ok && id.Seq <= info.Seq
}

// RecordSeq stores the sequence number of a record of an open session for
// IsDuplicate.
func (t *Table) RecordSeq(id protocol.RecordID) {
	if info, ok := t.open[id.Session]; ok {
		info.Seq = max(info.Seq, id.Seq)
	}
}

// Apply implements state.Machine for the session records.
func (t *Table) Apply(at protocol.Offset, rec *protocol.Record, _ state.Sessions) protocol.Verdict {
	switch {
	case rec.SessionOpen != nil:
		return t.applyOpen(at, rec.ID, rec.SessionOpen)
	case rec.SessionRenew != nil:
		return t.applyRenew(at, rec.ID.Session)
	case rec.SessionExpire != nil:
		return t.applyExpire(rec.SessionExpire)
	case rec.SessionClose != nil:
		return t.applyClose(rec.ID.Session)
	}
	return protocol.Malformed
}

func (t *Table) applyOpen(at protocol.Offset, id protocol.RecordID, body *protocol.SessionOpen) protocol.Verdict {
	if id.Session == 0 || body.Instance == "" {
		return protocol.Malformed
	}
	if t.Open(id.Session) || t.ended[id.Session] {
		return protocol.AlreadyEnded
	}
	t.open[id.Session] = &Info{
		Session:       id.Session,
		Instance:      body.Instance,
		Domain:        body.Domain,
		PeerAddress:   body.PeerAddress,
		CallerAddress: body.CallerAddress,
		OpenedAt:      at,
		LastRenewal:   at,
	}
	return protocol.Accepted
}

func (t *Table) applyRenew(at protocol.Offset, id protocol.SessionID) protocol.Verdict {
	info, ok := t.open[id]
	if !ok {
		return protocol.NoSession
	}
	info.LastRenewal = at
	return protocol.Accepted
}

// applyExpire ends a session that was not renewed. An observer that lagged behind,
// or whose record was delayed, names an old renewal and must not end a session
// that was renewed since.
func (t *Table) applyExpire(body *protocol.SessionExpire) protocol.Verdict {
	if t.ended[body.Session] {
		return protocol.AlreadyEnded
	}
	info, ok := t.open[body.Session]
	if !ok {
		return protocol.UnknownSubject
	}
	if info.LastRenewal != body.LastRenewal {
		return protocol.Renewed
	}
	t.end(body.Session)
	return protocol.Accepted
}

func (t *Table) applyClose(id protocol.SessionID) protocol.Verdict {
	if !t.Open(id) {
		return protocol.NoSession
	}
	t.end(id)
	return protocol.Accepted
}

// end moves a session to the ended sessions and evicts the oldest of those beyond
// MaxEnded.
func (t *Table) end(id protocol.SessionID) {
	delete(t.open, id)
	t.ended[id] = true
	t.endedOrder = append(t.endedOrder, id)
	for len(t.endedOrder) > MaxEnded {
		delete(t.ended, t.endedOrder[0])
		t.endedOrder = t.endedOrder[1:]
	}
}

// Snapshot is a copy of the full state. Equal states encode to equal bytes.
type Snapshot struct {
	Open  []Info               `cbor:"1,keyasint"`
	Ended []protocol.SessionID `cbor:"2,keyasint"`
}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{Open: t.All(), Ended: append([]protocol.SessionID{}, t.endedOrder...)}
}

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Table {
	t := New()
	for _, info := range s.Open {
		t.open[info.Session] = &info
	}
	for _, id := range s.Ended {
		t.ended[id] = true
	}
	t.endedOrder = append([]protocol.SessionID{}, s.Ended...)
	return t
}
