// Package replica composes the replayed state from its machines.
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

// State is all that is agreed, as of one position in the control stream. It is
// not safe for concurrent use.
type State struct {
	Sessions *session.Table
	Leases   *lease.Table
	Fleet    *fleet.Store
	Ledger   *ledger.Ledger
	Once     *once.Table

	applied protocol.Offset
	digest  uint64
	// scratch is reused by chain.
	scratch []byte
}

// New returns the state before the first record.
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

// Applied is the offset of the last applied entry, NoOffset before the first.
func (s *State) Applied() protocol.Offset { return s.applied }

// Apply decides the records of the entry at an offset, which must be the next
// one, and returns a verdict for each.
func (s *State) Apply(at protocol.Offset, frame protocol.Frame) []protocol.Verdict {
	s.advance(at)
	verdicts := make([]protocol.Verdict, len(frame.Records))
	for i := range frame.Records {
		verdicts[i] = s.applyRecord(at, &frame.Records[i])
	}
	s.chain(verdicts)
	return verdicts
}

// Skip passes over an entry that does not decode. Every reader fails to decode
// it alike, so skipping keeps them equal.
func (s *State) Skip(at protocol.Offset) {
	s.advance(at)
	s.chain(nil)
}

// Digest is a hash over all verdicts up to Applied. Instances that have applied
// the same prefix must have the same one. If instances of different releases,
// or with damaged memory, decide a record differently, an item may complete
// twice and nobody would see why; comparing digests shows that it happened.
func (s *State) Digest() uint64 { return s.digest }

func (s *State) chain(verdicts []protocol.Verdict) {
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

// advance panics if an entry is missed or applied twice: the state would part
// from that of the other instances, and an item could complete twice.
func (s *State) advance(at protocol.Offset) {
	if at != s.applied+1 {
		panic("replica: entries applied out of order")
	}
	s.applied = at
}

// applyRecord drops second copies and records of ended sessions, and gives the
// rest to the machine that owns the body.
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
