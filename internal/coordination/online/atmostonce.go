package online

import (
	"context"
	"net/http"

	"merlintiller/internal/protocol"
)

// AtMostOnceCall is a call that is not idempotent, with the idempotency key that
// its caller sent.
type AtMostOnceCall struct {
	Key protocol.CallKey
	// BodyHash detects an idempotency key that is reused for another request.
	// It covers service, method, path and body.
	BodyHash uint64
}

// Response is the complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stored reports whether this is the stored response of an earlier dispatch.
	Stored bool
}

// Dispatch sends the call to a target, at most once. Its error is an
// *external.CallError whose Run states whether the call may have had an effect.
// Run is NotRun only if certainly no byte reached a target.
type Dispatch func(ctx context.Context, id protocol.CallID) (Response, error)

// AtMostOnceCaller reserves the only dispatch of a call in the whole fleet.
// CallAtMostOnce calls dispatch at most once, and only after reading back from
// the log that its reservation won. Otherwise it returns the stored response or
// a refusal.
type AtMostOnceCaller interface {
	CallAtMostOnce(ctx context.Context, call AtMostOnceCall, dispatch Dispatch) (Response, *protocol.Refusal)
}
