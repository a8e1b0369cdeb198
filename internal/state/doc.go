// Package state defines the interface of the state machines that replay the
// records of the control stream. All instances replay the same stream and so reach
// the same state.
//
//   - session: open sessions.
//   - lease: the session that holds each resource, with its fencing number.
//   - fleet: the configuration in force and the withdrawn keys.
//   - ledger: batch jobs, chunk claims and results.
//   - once: reservations of calls that are not idempotent.
//   - replica: the combined state of all machines, with snapshots.
//
// A machine receives records with their offsets and returns verdicts. It has no
// clock, no I/O and no goroutines, so two instances that have applied the same
// prefix of the stream have the same state, and tests run the same code as the
// daemon.
package state

import "merlintiller/internal/protocol"

// Sessions tells a machine which sessions are open.
type Sessions interface {
	// Open reports whether the session is open at the record's position.
	Open(id protocol.SessionID) bool
}

// Machine is one part of the replayed state. Each type of record body belongs to
// one machine, and only that machine receives the record.
type Machine interface {
	// Apply decides on a record at an offset. The caller, package replica, has
	// checked that the writer's session is open and that the record is not a
	// duplicate.
	Apply(at protocol.Offset, rec *protocol.Record, sessions Sessions) protocol.Verdict
}
