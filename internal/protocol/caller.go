package protocol

import "context"

// Caller invokes a net/rpc method, named "Receiver.Method", of the instance at an
// address. An error says nothing about the effect.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
