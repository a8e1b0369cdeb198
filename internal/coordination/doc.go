// Package coordination defines the interfaces of the layer that coordinates the
// instances of a fleet. The background services of an instance use Journal to read
// and change the replicated state and Peers to call other instances.
//
// The packages below make the decisions. They are state machines without I/O that
// take inputs and the current time and return messages and records.
package coordination

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/state/replica"
)

// Outcome is the result of a submitted record.
type Outcome struct {
	// Verdict is the decision of replay on the record, empty if it is not known.
	Verdict protocol.Verdict
	// Offset is the record's position in the control stream. If the record was
	// accepted, it is the fencing number.
	Offset protocol.Offset
	// Run is NotRun if the record is certainly not in the stream and never will be,
	// Completed if the record was read back, and MayHaveRun otherwise.
	Run protocol.RunState
	// Err is the cause if Run is not Completed.
	Err error
}

// Accepted reports whether the record was read back and replay accepted it.
func (o Outcome) Accepted() bool {
	return o.Run == protocol.Completed && o.Verdict == protocol.Accepted
}

// Journal is one instance's access to the replicated state. It submits records,
// determines their outcome by reading them back, and provides the replayed state.
type Journal interface {
	// Submit appends a record under the instance's session and waits until the
	// record is read back or ctx is done. The writer sets rec.ID.
	Submit(ctx context.Context, rec protocol.Record) Outcome
	// View calls read with the replayed state under a read lock. read must not
	// retain references into the state.
	View(read func(*replica.State))
	// Fleet returns the configuration in force. It is immutable and never nil.
	Fleet() *protocol.Fleet
	// Session returns the instance's own session, zero while it has none.
	Session() protocol.SessionID
	// MayHold reports whether exclusive work under the session may continue now.
	MayHold() bool
	// Changed returns a channel that is closed when the next frame is applied.
	Changed() <-chan struct{}
	// LogUp reports whether a read reached the end of the control stream within
	// the log.down_after setting.
	LogUp() bool
	// AppendData stores bulk data and returns its offset. If the answer is lost,
	// an unreferenced copy may remain until retention removes it.
	AppendData(ctx context.Context, payload []byte) (protocol.Offset, error)
	// ReadData reads the bulk data stored at an offset.
	ReadData(ctx context.Context, at protocol.Offset) ([]byte, error)
}

// Peer is another instance, as described by the latest heartbeats.
type Peer struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is the instance's peer address, "ip:port".
	Address string
	// Reachable reports whether a heartbeat arrived within the reachability
	// timeout. It is a hint: it decides which peers to call first and never proves
	// that an instance is down.
	Reachable bool
	// Silent is the time since the instance's last heartbeat.
	Silent time.Duration
}

// Peers lists and calls other instances.
type Peers interface {
	// Call invokes the net/rpc method "Service.Method" on an instance.
	Call(ctx context.Context, to protocol.InstanceID, method string, args, reply any) error
	// List returns the known peers, those in the own failure domain first. It does
	// not contain the instance itself.
	List() []Peer
}
