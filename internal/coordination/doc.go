// Package coordination is the root of the layer that makes many instances act
// as one: it holds the interfaces through which the duties of an instance use
// what is agreed (the Journal) and reach the other instances (the Peers).
//
// The decisions themselves are pure state machines in the packages below:
// inputs and time in, messages and records out.
package coordination

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// Outcome is the fate of a submitted record.
type Outcome struct {
	// Verdict is what replay decided. Empty if the fate is not known.
	Verdict protocol.Verdict
	// Offset is where the record stands: the fencing number if accepted.
	Offset protocol.Offset
	// Run is NotRun if the record certainly stands nowhere and never will,
	// Completed if it was read back, and MayHaveRun otherwise.
	Run protocol.RunState
	// Err is the cause when Run is not Completed.
	Err error
}

// Accepted reports whether the record was read back and had its effect.
func (o Outcome) Accepted() bool {
	return o.Run == protocol.Completed && o.Verdict == protocol.Accepted
}

// Journal is what is agreed, as one instance sees it: it submits records,
// learns their fate by reading them back, and shows the replayed state.
type Journal interface {
	// Submit appends a record under the instance's session and waits until it
	// is read back or ctx ends. The writer fills in rec.ID.
	Submit(ctx context.Context, rec protocol.Record) Outcome
	// View calls read with the replayed state under a read lock. read must
	// not keep references to what it is shown.
	View(read func(*replica.State))
	// Fleet is the configuration in force; immutable, never nil.
	Fleet() *protocol.Fleet
	// Session is the instance's own session, zero while it has none.
	Session() protocol.SessionID
	// MayHold reports whether exclusive work under the session may go on now.
	MayHold() bool
	// Changed returns a channel that is closed at the next applied frame.
	Changed() <-chan struct{}
	// LogUp reports whether the control stream was read to its end lately.
	LogUp() bool
	// AppendData stores bulk data and returns its offset. A lost answer may
	// leave an unreferenced copy behind, which retention removes.
	AppendData(ctx context.Context, payload []byte) (protocol.Offset, error)
	// ReadData reads bulk data back.
	ReadData(ctx context.Context, at protocol.Offset) ([]byte, error)
}

// Peer is another instance as soft state shows it.
type Peer struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is its peer address, "ip:port".
	Address string
	// Reachable says that a heartbeat came lately. It is a hint: it decides
	// whom to ask first, never who is dead.
	Reachable bool
	// Silent is the time since its last heartbeat.
	Silent time.Duration
}

// Peers reaches other instances.
type Peers interface {
	// Call invokes a method "Service.Method" on an instance by net/rpc.
	Call(ctx context.Context, to protocol.InstanceID, method string, args, reply any) error
	// List returns the known peers, own failure domain first. It does not
	// contain the instance itself.
	List() []Peer
}
