package replica

import (
	"fmt"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/lease"
	"merlintiller/internal/state/ledger"
	"merlintiller/internal/state/once"
	"merlintiller/internal/state/session"
)

// snapshotFormat is incremented when the meaning of a snapshot's fields changes.
// An instance of another release then rejects the snapshot instead of
// misinterpreting it.
const snapshotFormat = 1

type snapshot struct {
	Format   int              `cbor:"1,keyasint"`
	Applied  protocol.Offset  `cbor:"2,keyasint"`
	Sessions session.Snapshot `cbor:"3,keyasint"`
	Leases   lease.Snapshot   `cbor:"4,keyasint"`
	Fleet    fleet.Snapshot   `cbor:"5,keyasint"`
	Ledger   ledger.Snapshot  `cbor:"6,keyasint"`
	Once     once.Snapshot    `cbor:"7,keyasint"`
	Digest   uint64           `cbor:"8,keyasint"`
}

// Capture is a copy of the state for later encoding, so that readers of the state
// don't have to wait for the encoding.
type Capture struct {
	content snapshot
}

// Capture copies the state.
func (s *State) Capture() *Capture {
	return &Capture{content: snapshot{
		Format:   snapshotFormat,
		Applied:  s.applied,
		Sessions: s.Sessions.Snapshot(),
		Leases:   s.Leases.Snapshot(),
		Fleet:    s.Fleet.Snapshot(),
		Ledger:   s.Ledger.Snapshot(),
		Once:     s.Once.Snapshot(),
		Digest:   s.digest,
	}}
}

// Applied returns the offset of the last entry that the copy includes.
func (c *Capture) Applied() protocol.Offset { return c.content.Applied }

// Encode returns the encoding that Restore decodes. Equal states have equal
// encodings.
func (c *Capture) Encode() ([]byte, error) { return protocol.Marshal(c.content) }

// Snapshot copies and encodes the state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture().Encode() }

// Restore returns the state that a snapshot was taken from. Its error wraps
// protocol.ErrMalformed.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := protocol.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	if snap.Format != snapshotFormat {
		return nil, fmt.Errorf("%w: snapshot format %d, want %d", protocol.ErrMalformed, snap.Format, snapshotFormat)
	}
	if snap.Applied < protocol.NoOffset {
		return nil, fmt.Errorf("%w: snapshot at offset %d", protocol.ErrMalformed, snap.Applied)
	}
	return &State{
		Sessions: session.Restore(snap.Sessions),
		Leases:   lease.Restore(snap.Leases),
		Fleet:    fleet.Restore(snap.Fleet),
		Ledger:   ledger.Restore(snap.Ledger),
		Once:     once.Restore(snap.Once),
		applied:  snap.Applied,
		digest:   snap.Digest,
	}, nil
}
