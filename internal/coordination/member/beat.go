package member

import "merlintiller/internal/protocol"

// Heartbeat is one direction of a heartbeat: what an instance tells another about
// itself.
type Heartbeat struct {
	Instance protocol.InstanceID
	Session  protocol.SessionID
	Domain   protocol.Domain
	// Address is the sender's peer address, "ip:port".
	Address string
	// Loaded says that the sender has a replayed state to share.
	Loaded bool
	// Applied is the last entry that the sender replayed, and Digest the hash
	// over all its verdicts up to there.
	Applied protocol.Offset
	Digest  uint64
	// FleetVersion is the version in force at the sender.
	FleetVersion protocol.Offset
	// Tombstones are the withdrawals that the sender knows and that the
	// control stream does not hold yet, at most MaxBeatTombstones.
	Tombstones []protocol.KeyWithdraw
}

// MaxBeatTombstones bounds one heartbeat. The rest follows in later ones, as
// the first are taken over by the control stream.
const MaxBeatTombstones = 1000

// SnapshotArgs asks for the replayed state.
type SnapshotArgs struct {
	// Instance is who asks.
	Instance protocol.InstanceID
}

// SnapshotReply carries the replayed state as replica encodes it.
type SnapshotReply struct {
	Applied protocol.Offset
	Data    []byte
}

// Names of the net/rpc methods of Peer.
const (
	ServiceName     = "Peer"
	MethodHeartbeat = ServiceName + ".Heartbeat"
	MethodSnapshot  = ServiceName + ".Snapshot"
)
