// Package replica combines the state machines into the complete replayed state.
package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/lease"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/once"
	"merlintiller/internal/state/session"
)

// State is the complete replayed state at one offset of the control stream. It is
// not safe for concurrent use.
type State struct {
	Sessions *session.Table
	Leases   *lease.Table
	Fleet    *fleet.Store
	Ledger   *ledger.Ledger
	Once     *once.Table

	applied protocol.Offset
	digest  uint64
	// scratch is the buffer that updateDigest reuses.
	scratch []byte
}

// New returns the state before the first entry.
func New() *State {
	return &State{
		Sessions: session.New(),
		Leases:   lease.New(),
		Fleet:    fleet.New(),
		Ledger:   ledger.New(),
		Once:     once.New(),
		applied:  protocol.NoOffset,
	}
}

// Applied returns the offset of the last applied entry, NoOffset before the first.
func (s *State) Applied() protocol.Offset { return s.applied }

// Apply decides on the records of the entry at an offset and returns a verdict
// for each. The offset must follow that of the last applied entry.
func (s *State) Apply(at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	s.advance(at)
	verdicts := make([]protocol.Verdict, len(frame.Records))
	for i := range frame.Records {
		verdicts[i] = s.applyRecord(at, &frame.Records[i])
	}
	s.updateDigest(verdicts)
	return verdicts
}

// Skip advances past an entry that can't be decoded. All instances fail to decode
// it, so their states stay equal when they skip it.
func (s *State) Skip(at protocol.Offset) {
	s.advance(at)
	s.updateDigest(nil)
}

// Digest returns a hash over all verdicts up to Applied. Instances that have
// applied the same prefix of the stream must have the same digest. Instances of
// different releases, or with corrupted memory, may decide differently on a
// record, and an item may then complete twice without a visible cause. Comparing
// digests detects such a difference.
func (s *State) Digest() uint64 { return s.digest }

// updateDigest adds the last applied offset and its verdicts to the digest.
func (s *State) updateDigest(verdicts []protocol.Verdict) {
	buffer := s.scratch[:0]
	buffer = binary.BigEndian.AppendUint64(buffer, s.digest)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(s.applied))
	for _, verdict := range verdicts {
		buffer = append(buffer, verdict...)
		buffer = append(buffer, 0)
	}
	s.digest = xxhash.Sum64(buffer)
	s.scratch = buffer
}

// advance sets the applied offset. It panics if an entry was missed or is applied
// twice, since the state would then diverge from that of the other instances and
// an item could complete twice.
func (s *State) advance(at protocol.Offset) {
	if at != s.applied+1 {
		panic("replica: entries applied out of order")
	}
	s.applied = at
}

// applyRecord rejects repeated records and records of ended sessions. It passes
// all others to the machine that owns the record's body.
func (s *State) applyRecord(at protocol.Offset, rec *protocol.Record) protocol.Verdict {
	if s.Sessions.IsDuplicate(rec.ID) {
		return protocol.Duplicate
	}
	if rec.SessionOpen == nil && !s.Sessions.Open(rec.ID.Session) {
		return protocol.NoSession
	}
	s.Sessions.RecordSeq(rec.ID)
	verdict := s.dispatch(at, rec)
	if verdict != protocol.Accepted {
		return verdict
	}
	switch {
	case rec.SessionOpen != nil:
		s.Sessions.RecordSeq(rec.ID)
	case rec.SessionExpire != nil:
		s.Leases.SessionEnded(at, rec.SessionExpire.Session)
	case rec.SessionClose != nil:
		s.Leases.SessionEnded(at, rec.ID.Session)
	}
	return verdict
}

func (s *State) dispatch(at protocol.Offset, rec *protocol.Record) protocol.Verdict {
	switch {
	case rec.SessionOpen != nil, rec.SessionRenew != nil, rec.SessionExpire != nil, rec.SessionClose != nil:
		return s.Sessions.Apply(at, rec, s.Sessions)
	case rec.LeaseClaim != nil, rec.LeaseRelease != nil:
		return s.Leases.Apply(at, rec, s.Sessions)
	case rec.FleetChange != nil, rec.KeyWithdraw != nil:
		return s.Fleet.Apply(at, rec, s.Sessions)
	case rec.CallReserve != nil, rec.CallOutcome != nil, rec.CallRelease != nil, rec.CallForget != nil:
		return s.Once.Apply(at, rec, s.Sessions)
	default:
		return s.Ledger.Apply(at, rec, s.Sessions)
	}
}
