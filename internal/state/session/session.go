// Package session replays which sessions are open.
package session

import (
	"merlintiller/internal/protocol"
	"merlintiller/internal/state"
)

// Table is the replayed state. It is not safe for concurrent use.
type Table struct{}

// New returns the empty state.
func New() *Table { return &Table{} }

// Apply implements state.Machine.
func (t *Table) Apply(at protocol.Offset, rec *protocol.Record, sessions state.Sessions) protocol.Verdict {
	return protocol.Malformed
}

// Snapshot is the whole state in a form that encodes to equal bytes for equal
// states.
type Snapshot struct{}

// Snapshot copies the state.
func (t *Table) Snapshot() Snapshot { return Snapshot{} }

// Restore makes the state that a snapshot was taken of.
func Restore(s Snapshot) *Table { return New() }
