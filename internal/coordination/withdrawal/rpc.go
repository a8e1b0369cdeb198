package withdrawal

import "merlintiller/internal/protocol"

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Keys"

// MethodWithdraw is the net/rpc method that withdraws a key at an instance.
const MethodWithdraw = ServiceName + ".Withdraw"

// Request holds the arguments of Keys.Withdraw.
type Request struct {
	Key protocol.KeyID
	// Operator is the id of the key of the operator who withdraws Key.
	Operator string
}

// Reply confirms that the instance no longer accepts the key.
type Reply struct{}

// Receiver is the net/rpc receiver for calls from other instances.
type Receiver struct {
	Local LocalWithdrawer
}

// Withdraw withdraws a key at this instance. The key no longer works when the reply
// is sent.
func (r *Receiver) Withdraw(request Request, _ *Reply) error {
	r.Local.WithdrawLocally(request.Key, request.Operator)
	return nil
}
