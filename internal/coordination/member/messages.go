package member

import "merlintiller/internal/protocol"

// Heartbeat is one direction of a heartbeat exchange: the state that an
// instance reports to a peer. The Peer.Heartbeat call carries one as its
// arguments and one as its reply.
type Heartbeat struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is the sender's peer address, "ip:port".
	Address string
	// Loaded reports whether the sender has replayed the control stream and can
	// serve a snapshot.
	Loaded bool
	// Applied is the offset of the last entry that the sender replayed. Digest
	// is the hash over all verdicts of its replay up to that entry.
	Applied protocol.Offset
	Digest  uint64
	// FleetVersion is the version of the configuration in force at the sender.
	FleetVersion protocol.Offset
	// Tombstones holds the key withdrawals that the sender knows and that it has
	// not yet read from the control stream, at most MaxHeartbeatTombstones.
	Tombstones []protocol.KeyWithdraw
}

// MaxHeartbeatTombstones limits the withdrawals in one heartbeat. Later
// heartbeats carry the rest, once the first ones are in the control stream.
const MaxHeartbeatTombstones = 1000

// SnapshotArgs holds the arguments of Peer.Snapshot.
type SnapshotArgs struct {
	// Instance is the caller.
	Instance protocol.InstanceID
}

// SnapshotReply carries the replayed state in the encoding of package replica.
type SnapshotReply struct {
	// Applied is the offset of the last entry in the snapshot.
	Applied protocol.Offset
	Data    []byte
}

// Names of the net/rpc methods of Peer.
const (
	ServiceName     = "Peer"
	MethodHeartbeat = ServiceName + ".Heartbeat"
	MethodSnapshot  = ServiceName + ".Snapshot"
)
