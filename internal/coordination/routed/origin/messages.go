package origin

import "time"

// net/rpc encodes the types of this file with gob, which sends fields under their Go names.

// Record says at which software version a stream began.
type Record struct {
	// Stream is the id of the request that brought the first event.
	Stream  string
	Version string
	// Age is the time since the first event.
	Age time.Duration
}

// TellArgs are records of streams that began at the caller.
type TellArgs struct{ Records []Record }

// FindArgs asks for the record of a stream. Stream is empty if the caller does not name it.
type FindArgs struct{ Service, Stream string }

// FindReply is the record, if the answering instance has it.
type FindReply struct {
	Found  bool
	Record Record
	// OnlyVersion is set if there is no record and the service has had only this version for
	// longer than a stream can last. ListAge is the age of the list that shows it.
	OnlyVersion string
	ListAge     time.Duration
}

// Names of the net/rpc methods.
const (
	ReceiverName = "Origins"
	methodTell   = ReceiverName + ".Tell"
	methodFind   = ReceiverName + ".Find"
)

// Receiver is the net/rpc receiver, registered under ReceiverName.
type Receiver struct{ registry *Registry }

// Receiver returns the net/rpc receiver.
func (r *Registry) Receiver() *Receiver { return &Receiver{registry: r} }

// Tell keeps the records of another instance.
func (r *Receiver) Tell(args *TellArgs, _ *struct{}) error {
	r.registry.keep(args.Records)
	return nil
}

// Find returns the record of a stream.
func (r *Receiver) Find(args *FindArgs, reply *FindReply) error {
	*reply = r.registry.answer(args)
	return nil
}
