// Package ledger replays batch jobs, chunk claims and results.
package ledger

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// Ledger is the replayed state. It is not safe for concurrent use.
type Ledger struct{}

// New returns the empty state.
func New() *Ledger { return &Ledger{} }

// Apply implements state.Machine.
func (t *Ledger) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	return protocol.Malformed
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states.
type Snapshot struct{}

// Snapshot copies the state.
func (t *Ledger) Snapshot() Snapshot { return Snapshot{} }

// Restore makes the state that a snapshot was taken of.
func Restore(s Snapshot) *Ledger { return New() }
