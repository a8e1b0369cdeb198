package member

import "errors"

// errNotLoaded: the asked instance has no replayed state yet. Two instances
// that start together must not take the empty state from each other, or they
// would let withdrawn keys in and accept what was done before.
var errNotLoaded = errors.New("state not loaded")

// Peer is the net/rpc receiver that answers other instances. It is registered
// under ServiceName.
type Peer struct {
	heartbeats *Heartbeats
}

// Receiver returns the net/rpc receiver.
func (h *Heartbeats) Receiver() *Peer { return &Peer{heartbeats: h} }

// Heartbeat takes over what the caller tells and tells about this instance.
func (p *Peer) Heartbeat(args *Heartbeat, reply *Heartbeat) error {
	p.heartbeats.heard(*args)
	*reply = p.heartbeats.beat()
	return nil
}

// Snapshot gives the caller the replayed state.
func (p *Peer) Snapshot(_ *SnapshotArgs, reply *SnapshotReply) error {
	local := p.heartbeats.attached()
	if local == nil || !isLoaded(local) {
		return errNotLoaded
	}
	applied, data, err := local.Snapshot()
	if err != nil {
		return err
	}
	counters.Add("snapshots_served", 1)
	*reply = SnapshotReply{Applied: applied, Data: data}
	return nil
}
