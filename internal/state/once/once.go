// Package once replays the reservations of calls that may not be repeated: of
// all instances that got the same call, the first reservation in stream order
// may send it, and only that one.
package once

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// Call is what is known of one reserved call. It holds no strings: a day's calls
// are remembered by every instance.
type Call struct {
	// Key is the hash of the call's key.
	Key Key `cbor:"1,keyasint"`
	// ID is the hash of the id of the only dispatch.
	ID       uint64 `cbor:"2,keyasint"`
	BodyHash uint64 `cbor:"3,keyasint"`
	// At is the reserving instance's wall clock in Unix seconds; replay never
	// compares it.
	At int64 `cbor:"4,keyasint"`
	// Session is the one that reserved, and Reserved where its record stands.
	Session  protocol.SessionID `cbor:"5,keyasint"`
	Reserved protocol.Offset    `cbor:"6,keyasint"`
	Data     protocol.Offset    `cbor:"7,keyasint"`
	// Settled says that Status and Data are known. Status 0 then means that
	// the outcome will never be known.
	Status  uint16 `cbor:"8,keyasint,omitempty"`
	Settled bool   `cbor:"9,keyasint,omitempty"`
}

// ReservedFor reports whether the call is reserved for a dispatch.
func (c *Call) ReservedFor(id protocol.CallID) bool { return c.ID == hashID(id) }

// Key is a hash of a call's key: 128 bits of SHA-256, so that nobody can choose
// two keys that meet.
type Key [16]byte

func hashKey(key protocol.CallKey) (short Key) {
	// The length keeps organisation and key apart.
	text := fmt.Sprintf("%d/%s/%s", len(key.Organisation), key.Organisation, key.Key)
	long := sha256.Sum256([]byte(text))
	copy(short[:], long[:])
	return short
}

// hashID shortens the random id of a dispatch.
func hashID(id protocol.CallID) uint64 { return xxhash.Sum64String(string(id)) }

// Table is the replayed state. It is not safe for concurrent use.
type Table struct {
	calls map[Key]Call
}

// New returns the empty state.
func New() *Table { return &Table{calls: map[Key]Call{}} }

// Apply implements state.Machine.
func (t *Table) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	switch {
	case rec.CallReserve != nil:
		return t.reserve(at, rec.ID.Session, rec.CallReserve)
	case rec.CallOutcome != nil:
		return t.settle(rec.CallOutcome)
	case rec.CallRelease != nil:
		return t.release(rec.CallRelease)
	case rec.CallForget != nil:
		return t.forget(rec.CallForget, sessions)
	}
	return protocol.Malformed
}

func (t *Table) reserve(at protocol.Offset, by protocol.SessionID, body *protocol.CallReserve) protocol.Verdict {
	if body.Call.Key == "" || body.Call.Organisation == "" || body.ID == "" {
		return protocol.Malformed
	}
	key := hashKey(body.Call)
	if _, taken := t.calls[key]; taken {
		return protocol.AlreadyHeld
	}
	t.calls[key] = Call{
		Key:      key,
		ID:       hashID(body.ID),
		BodyHash: body.BodyHash,
		At:       body.At.Unix(),
		Session:  by,
		Reserved: at,
		Data:     protocol.NoOffset,
	}
	return protocol.Accepted
}

// settle records the outcome of the dispatch that was reserved. Any session
// may write it: an instance that was paused past its lease still knows what
// the target answered.
func (t *Table) settle(body *protocol.CallOutcome) protocol.Verdict {
	if body.Status < 0 || body.Status > math.MaxUint16 {
		return protocol.Malformed
	}
	call, verdict := t.unsettled(body.Call, body.ID)
	if verdict != protocol.Accepted {
		return verdict
	}
	call.Settled = true
	call.Status = uint16(body.Status)
	call.Data = body.Data
	t.calls[call.Key] = call
	return protocol.Accepted
}

// release makes way for another dispatch of a call that certainly did not run.
// It needs the id of the dispatch, which only its sender has, and is rejected
// once an outcome stands.
func (t *Table) release(body *protocol.CallRelease) protocol.Verdict {
	if _, verdict := t.unsettled(body.Call, body.ID); verdict != protocol.Accepted {
		return verdict
	}
	delete(t.calls, hashKey(body.Call))
	return protocol.Accepted
}

func (t *Table) unsettled(key protocol.CallKey, id protocol.CallID) (Call, protocol.Verdict) {
	call, ok := t.calls[hashKey(key)]
	if !ok {
		return Call{}, protocol.UnknownSubject
	}
	if !call.ReservedFor(id) {
		return Call{}, protocol.NotHolder
	}
	if call.Settled {
		return Call{}, protocol.AlreadyEnded
	}
	return call, protocol.Accepted
}

// forget drops reservations whose time to be remembered is over. One that is
// not settled while its session is open stays, since it may be in flight: a
// resend would otherwise be sent beside it.
func (t *Table) forget(body *protocol.CallForget, sessions state.Sessions) protocol.Verdict {
	dropped := 0
	for key, call := range t.calls {
		if call.Reserved > body.UpTo {
			continue
		}
		if !call.Settled && sessions.Open(call.Session) {
			continue
		}
		delete(t.calls, key)
		dropped++
	}
	if dropped == 0 {
		return protocol.UnknownSubject
	}
	return protocol.Accepted
}

// Call returns the reservation of a key.
func (t *Table) Call(key protocol.CallKey) (Call, bool) {
	call, ok := t.calls[hashKey(key)]
	return call, ok
}

// Len is the number of remembered calls.
func (t *Table) Len() int { return len(t.calls) }

// LastReservedBefore is the position of the newest reservation whose writer's clock
// was before a time, NoOffset if there is none.
func (t *Table) LastReservedBefore(limit time.Time) protocol.Offset {
	last := protocol.NoOffset
	for _, call := range t.calls {
		if call.At < limit.Unix() {
			last = max(last, call.Reserved)
		}
	}
	return last
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states: calls stand in the order of their reservation.
type Snapshot struct {
	Calls []Call `cbor:"1,keyasint"`
}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot {
	s := Snapshot{Calls: make([]Call, 0, len(t.calls))}
	for _, call := range t.calls {
		s.Calls = append(s.Calls, call)
	}
	slices.SortFunc(s.Calls, func(a, b Call) int {
		return cmp.Or(
			cmp.Compare(a.Reserved, b.Reserved),
			bytes.Compare(a.Key[:], b.Key[:]),
		)
	})
	return s
}

// Restore makes the state that a snapshot was taken of.
func Restore(s Snapshot) *Table {
	t := New()
	for _, call := range s.Calls {
		t.calls[call.Key] = call
	}
	return t
}
