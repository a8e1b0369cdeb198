package fleetstatus

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Status"

// MethodOwn is the net/rpc method that gives an instance's own status.
const MethodOwn = ServiceName + ".Own"

// Request asks an instance for its status.
type Request struct{}

// Receiver answers other instances.
type Receiver struct {
	Source *Source
}

// Own gives the status of this instance.
func (r *Receiver) Own(_ Request, own *Instance) error {
	*own = r.Source.Own()
	return nil
}
