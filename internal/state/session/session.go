// Package session replays which sessions are open.
//
// A session is the incarnation of an instance. All that an instance holds
// exclusively hangs on its session, so one renewal keeps everything alive and
// one expiry frees everything.
package session

import (
	"cmp"
	"slices"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// MaxEnded is how many ended sessions are remembered, oldest forgotten first.
// A late second copy of an ended session's open record would otherwise open it
// again, and an instance would seem alive that left long ago. At 463 restarts
// and crashes a day the memory reaches back more than a week, far longer than
// an append can be delayed. It is part of the replayed rules, so it is no
// setting: instances that disagreed on it would disagree on the state.
const MaxEnded = 4096

// Info is one open session.
type Info struct {
	Session       protocol.SessionID  `cbor:"1,keyasint"`
	Instance      protocol.InstanceID `cbor:"2,keyasint"`
	Domain        protocol.Domain     `cbor:"3,keyasint"`
	PeerAddress   string              `cbor:"4,keyasint"`
	CallerAddress string              `cbor:"5,keyasint"`
	OpenedAt      protocol.Offset     `cbor:"6,keyasint"`
	// LastRenewal is the offset of the latest renewal, or of the open record.
	LastRenewal protocol.Offset `cbor:"7,keyasint"`
	// Seq is the highest record number seen of the session.
	Seq uint64 `cbor:"8,keyasint"`
}

// Table is the replayed state. It is not safe for concurrent use.
type Table struct {
	open  map[protocol.SessionID]*Info
	ended map[protocol.SessionID]bool
	// order lists the ended sessions, the oldest first.
	order []protocol.SessionID
}

// New returns the empty state.
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

// Ended reports whether the session is remembered as ended.
func (t *Table) Ended(id protocol.SessionID) bool { return t.ended[id] }

// Get returns an open session.
func (t *Table) Get(id protocol.SessionID) (Info, bool) {
	info, ok := t.open[id]
	if !ok {
		return Info{}, false
	}
	return *info, true
}

// Instance is whose an open session is and its peer address, empty if it is not
// open.
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
	slices.SortFunc(all, compare)
	return all
}

func compare(a, b Info) int {
	return cmp.Or(cmp.Compare(a.OpenedAt, b.OpenedAt), cmp.Compare(a.Session, b.Session))
}

// ByInstance returns the open sessions of one instance, the newest last. There
// are several while a former process of the instance has not expired yet.
func (t *Table) ByInstance(id protocol.InstanceID) []Info {
	all := t.All()
	return slices.DeleteFunc(all, func(info Info) bool { return info.Instance != id })
}

// IsDuplicate reports whether a record of an open session was applied before. Writers
// number their records upwards, so the highest number tells.
func (t *Table) IsDuplicate(id protocol.RecordID) bool {
	info, ok := t.open[id.Session]
	return ok && id.Seq <= info.Seq
}

// RecordSeq remembers the number of a record of an open session.
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

// applyExpire ends a silent session. An observer that lagged, or whose record
// was delayed, names an old renewal and must not end a session that lives.
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

func (t *Table) end(id protocol.SessionID) {
	delete(t.open, id)
	t.ended[id] = true
	t.order = append(t.order, id)
	for len(t.order) > MaxEnded {
		delete(t.ended, t.order[0])
		t.order = t.order[1:]
	}
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states.
type Snapshot struct {
	Open  []Info               `cbor:"1,keyasint"`
	Ended []protocol.SessionID `cbor:"2,keyasint"`
}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot {
	return Snapshot{Open: t.All(), Ended: append([]protocol.SessionID{}, t.order...)}
}

// Restore makes the state that a snapshot was taken of.
func Restore(s Snapshot) *Table {
	t := New()
	for _, info := range s.Open {
		t.open[info.Session] = &info
	}
	for _, id := range s.Ended {
		t.ended[id] = true
	}
	t.order = append([]protocol.SessionID{}, s.Ended...)
	return t
}
