package external

import (
	"context"
	"errors"
	"io"

	"merlintiller/internal/protocol/exchange"
)

// Causes of a failed exchange with a target.
var (
	// ErrNotSent: nothing of the request left this instance, so it did not and
	// will not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrMayHaveRun: the request left, and no answer to it came.
	ErrMayHaveRun = errors.New("no answer")
)

// OpenAnswer is a target's answer whose body is still to be read. The reader
// must close it.
type OpenAnswer interface {
	Head() *exchange.Reply
	// Read gives io.EOF only at the end of a whole body.
	io.Reader
	// Close gives the answer up, or ends the reading of a whole one.
	Close()
}

// Sender sends requests to targets.
type Sender interface {
	// Send sends a request and waits for the head of its answer. When ctx ends,
	// also while the body is being read, the target is told to drop the request.
	// An error wraps ErrNotSent or ErrMayHaveRun.
	Send(ctx context.Context, address string, d *exchange.Dispatch) (OpenAnswer, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
}
