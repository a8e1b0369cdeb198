package protocol

import "context"

// Caller invokes the net/rpc method "Service.Method" on the instance at an address.
// After an error, the call may or may not have had an effect.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
