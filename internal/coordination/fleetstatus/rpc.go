package fleetstatus

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Status"

// MethodOwn is the net/rpc method that returns the status of the called instance.
const MethodOwn = ServiceName + ".Own"

// Request holds the arguments of Status.Own, which has none.
type Request struct{}

// Receiver is the net/rpc receiver for calls from other instances.
type Receiver struct {
	Source *Source
}

// Own replies with the status of this instance.
func (r *Receiver) Own(_ Request, own *Instance) error {
	*own = r.Source.Own()
	return nil
}
