package withdrawal

import "merlintiller/internal/protocol"

// ServiceName is the name under which Receiver is registered with net/rpc.
const ServiceName = "Keys"

// MethodWithdraw is the net/rpc method that withdraws a key at an instance.
const MethodWithdraw = ServiceName + ".Withdraw"

// Request asks an instance to withdraw a key.
type Request struct {
	Key protocol.KeyID
	// Operator is the id of the operator's key.
	Operator string
}

// Done confirms that the key no longer works at the instance.
type Done struct{}

// Receiver answers other instances.
type Receiver struct {
	Local Local
}

// Withdraw makes a key stop working before it answers.
func (r *Receiver) Withdraw(request Request, _ *Done) error {
	r.Local.WithdrawLocally(request.Key, request.Operator)
	return nil
}
