package online

import (
	"context"
	"net/http"

	"merlintiller/internal/protocol"
)

// AtMostOnceCall is a call that may not be repeated, with the idempotency key that
// its caller sent.
type AtMostOnceCall struct {
	Key protocol.CallKey
	// BodyHash detects a key that is used again for another request. It
	// covers service, method, path and body.
	BodyHash uint64
}

// Response is the whole answer of a call that may not be repeated.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stored says that the answer is the kept one of an earlier dispatch.
	Stored bool
}

// Dispatch sends the call to a target, once. Its error is a
// *external.CallError whose Run says what is known of the effect: NotRun is
// said only if certainly no byte reached a target.
type Dispatch func(ctx context.Context, id protocol.CallID) (Response, error)

// AtMostOnceCaller reserves the only dispatch of a call over the whole fleet. It
// calls dispatch at most once, and only after its reservation was read back as
// the winner; otherwise it gives the stored answer or a refusal.
type AtMostOnceCaller interface {
	CallAtMostOnce(ctx context.Context, call AtMostOnceCall, dispatch Dispatch) (Response, *protocol.Refusal)
}
