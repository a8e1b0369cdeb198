package mesh

// Receiver is the net/rpc receiver that answers other instances. It is
// registered under ServiceName.
type Receiver struct {
	mesh *Mesh
}

// Receiver returns the net/rpc receiver.
func (m *Mesh) Receiver() *Receiver { return &Receiver{mesh: m} }

// Exchange takes over what the caller tells and tells of this instance.
func (r *Receiver) Exchange(args *Heartbeat, reply *Heartbeat) error {
	r.mesh.take(*args)
	*reply = r.mesh.beatFor(args.From, true)
	reply.Superseded = r.mesh.superseded(args.From)
	if args.Pull != nil {
		reply.Feed = r.mesh.feedFor(*args.Pull)
	}
	return nil
}

// Snapshot gives the caller what is newer here.
func (r *Receiver) Snapshot(args *SnapshotArgs, reply *SnapshotReply) error {
	*reply = r.mesh.local.SnapshotSince(*args)
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	reply.Instances = r.mesh.view.Known()
	return nil
}
