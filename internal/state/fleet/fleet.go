// Package fleet replays the configuration in force and the withdrawn keys.
package fleet

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// Store is the replayed state. It is not safe for concurrent use.
type Store struct{}

// New returns the empty state.
func New() *Store { return &Store{} }

// Apply implements state.Machine.
func (t *Store) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	return protocol.Malformed
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states.
type Snapshot struct{}

// Snapshot copies the state.
func (t *Store) Snapshot() Snapshot { return Snapshot{} }

// Restore makes the state that a snapshot was taken of.
func Restore(s Snapshot) *Store { return New() }
