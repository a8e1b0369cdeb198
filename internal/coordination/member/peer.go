package member

import "errors"

// errNotLoaded reports that this instance has no replayed state yet. Two instances
// that start at the same time must not load the empty state from each other:
// they would admit withdrawn keys and accept records that were already applied.
var errNotLoaded = errors.New("state not loaded")

// Peer is the net/rpc receiver for calls from other instances. It is registered
// under ServiceName.
type Peer struct {
	heartbeats *Heartbeats
}

// Receiver returns the net/rpc receiver.
func (h *Heartbeats) Receiver() *Peer { return &Peer{heartbeats: h} }

// Heartbeat applies the caller's heartbeat and replies with that of this instance.
func (p *Peer) Heartbeat(args *Heartbeat, reply *Heartbeat) error {
	p.heartbeats.applyHeartbeat(*args)
	*reply = p.heartbeats.localHeartbeat()
	return nil
}

// Snapshot replies with the replayed state.
func (p *Peer) Snapshot(_ *SnapshotArgs, reply *SnapshotReply) error {
	local := p.heartbeats.localState()
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
