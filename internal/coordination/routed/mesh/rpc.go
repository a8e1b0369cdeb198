package mesh

// Receiver is the net/rpc receiver that answers other instances. It is registered under
// ServiceName.
type Receiver struct {
	mesh *Mesh
}

func (m *Mesh) Receiver() *Receiver { return &Receiver{mesh: m} }

// Exchange processes the caller's heartbeat and answers with the heartbeat of this
// instance.
func (r *Receiver) Exchange(args *Heartbeat, reply *Heartbeat) error {
	r.mesh.receive(*args)
	*reply, _ = r.mesh.heartbeatFor(args.From, true)
	r.mesh.answerQuarantine(args, reply)
	reply.Superseded = r.mesh.newerStart(args.From)
	if args.Pull != nil {
		reply.Feed = r.mesh.answerFeed(*args.Pull)
	}
	return nil
}

// Notify processes a report that does not wait for the next heartbeat.
func (r *Receiver) Notify(args *Notice, _ *NoticeReply) error {
	r.mesh.receiveNotice(args)
	return nil
}

// Snapshot returns what is newer here than the caller's versions.
func (r *Receiver) Snapshot(args *SnapshotArgs, reply *SnapshotReply) error {
	*reply = r.mesh.delegate.SnapshotSince(*args)
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	reply.Instances, reply.Complete = r.mesh.view.Instances(), r.mesh.fleetKnown
	return nil
}
