// Package state is the root of the replayed state: pure state machines that
// turn the records of the control stream into agreement.
//
//   - session: which sessions are open.
//   - lease: which session holds a resource, with its fencing number.
//   - fleet: the configuration in force and the withdrawn keys.
//   - ledger: batch jobs, chunk claims and results.
//   - once: reservations of calls that may not be repeated.
//   - replica: all of them together, with snapshots.
//
// A machine gets offsets and records and answers with verdicts. It has no
// clock, no I/O and no goroutine, so two instances that have applied the same
// prefix of the stream hold the same state, and tests drive the very code that
// the daemon runs.
package state

import "merlintiller/internal/protocol"

// Sessions tells a machine whether a record's writer still has its session.
type Sessions interface {
	// Open reports whether the session is open at the record's position.
	Open(id protocol.SessionID) bool
}

// Machine is one part of the replayed state. The machine that owns a record's
// body decides it; others never see it.
type Machine interface {
	// Apply decides one record that stands at an offset. The writer's session
	// is open and the record is no duplicate: replica has checked both.
	Apply(at protocol.Offset, rec *protocol.Record, sessions Sessions) protocol.Verdict
}
