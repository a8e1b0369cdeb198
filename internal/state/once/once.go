// Package once replays the reservations of calls that are not idempotent. Several
// instances may receive the same call; only the instance whose reservation is the
// first in stream order may send it.
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

// Call is the state of a reserved call. It contains no strings, to save memory:
// each instance keeps the calls of a day.
type Call struct {
	// Key is the hash of the call's organisation and idempotency key.
	Key Key `cbor:"1,keyasint"`
	// IDHash is the hash of the id of the dispatch that the reservation permits.
	IDHash   uint64 `cbor:"2,keyasint"`
	BodyHash uint64 `cbor:"3,keyasint"`
	// At is the time of the reservation in Unix seconds by the wall clock of the
	// reserving instance. Replay never compares it.
	At int64 `cbor:"4,keyasint"`
	// Session is the session that made the reservation, and Offset the offset of
	// its record in the control stream.
	Session protocol.SessionID `cbor:"5,keyasint"`
	Offset  protocol.Offset    `cbor:"6,keyasint"`
	// Data is the offset of the response in DataStream, or NoOffset if none is
	// stored.
	Data protocol.Offset `cbor:"7,keyasint"`
	// Settled reports whether the outcome is recorded in Status and Data. Status
	// 0 then means that the outcome will never be known.
	Status  uint16 `cbor:"8,keyasint,omitempty"`
	Settled bool   `cbor:"9,keyasint,omitempty"`
}

// ReservedFor reports whether the reservation permits the dispatch with an id.
func (c *Call) ReservedFor(id protocol.CallID) bool { return c.IDHash == hashID(id) }

// Key is the hash of a call's organisation and idempotency key. It consists of
// 128 bits of SHA-256, so that callers can't construct two keys with the same hash.
type Key [16]byte

func hashKey(key protocol.CallKey) (short Key) {
	// The length marks the boundary between organisation and key.
	text := fmt.Sprintf("%d/%s/%s", len(key.Organisation), key.Organisation, key.Key)
	long := sha256.Sum256([]byte(text))
	copy(short[:], long[:])
	return short
}

// hashID hashes the random id of a dispatch to 64 bits.
func hashID(id protocol.CallID) uint64 { return xxhash.Sum64String(string(id)) }

// Table is the replayed state of all reserved calls. It is not safe for concurrent use.
type Table struct {
	calls map[Key]Call
}

// New returns an empty table.
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
	if _, reserved := t.calls[key]; reserved {
		return protocol.AlreadyHeld
	}
	t.calls[key] = Call{
		Key:      key,
		IDHash:   hashID(body.ID),
		BodyHash: body.BodyHash,
		At:       body.At.Unix(),
		Session:  by,
		Offset:   at,
		Data:     protocol.NoOffset,
	}
	return protocol.Accepted
}

// settle records the outcome of the reserved dispatch. Any session may write the
// outcome: an instance that was paused beyond the end of its lease still knows
// the target's response.
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

// release deletes the reservation of a call that certainly did not run, so that
// the call can be dispatched again. The record must contain the id of the
// dispatch, which only its sender knows. It is rejected if an outcome is recorded.
func (t *Table) release(body *protocol.CallRelease) protocol.Verdict {
	if _, verdict := t.unsettled(body.Call, body.ID); verdict != protocol.Accepted {
		return verdict
	}
	delete(t.calls, hashKey(body.Call))
	return protocol.Accepted
}

// unsettled returns the reservation of a dispatch that has no outcome yet, or the
// verdict on the record that names the dispatch.
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

// forget deletes the reservations up to an offset, since their retention is over.
// A reservation without an outcome stays while its session is open, since its call
// may be in flight and a resend would run at the same time.
func (t *Table) forget(body *protocol.CallForget, sessions state.Sessions) protocol.Verdict {
	dropped := 0
	for key, call := range t.calls {
		if call.Offset > body.UpTo {
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

// Call returns the state of the call with a key.
func (t *Table) Call(key protocol.CallKey) (Call, bool) {
	call, ok := t.calls[hashKey(key)]
	return call, ok
}

// Len returns the number of calls in the table.
func (t *Table) Len() int { return len(t.calls) }

// LastReservedBefore returns the offset of the newest reservation that was made
// before a time by its writer's clock, or NoOffset if there is none.
func (t *Table) LastReservedBefore(limit time.Time) protocol.Offset {
	last := protocol.NoOffset
	for _, call := range t.calls {
		if call.At < limit.Unix() {
			last = max(last, call.Offset)
		}
	}
	return last
}

// Snapshot is a copy of the full state. Equal states encode to equal bytes: calls
// are sorted by the offset of their reservation.
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
			cmp.Compare(a.Offset, b.Offset),
			bytes.Compare(a.Key[:], b.Key[:]),
		)
	})
	return s
}

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Table {
	t := New()
	for _, call := range s.Calls {
		t.calls[call.Key] = call
	}
	return t
}
