package external

import (
	"context"
	"errors"
	"fmt"
	"io"

	"merlintiller/internal/protocol/exchange"
)

// Causes of a failed exchange with a target.
var (
	// ErrNotSent: no byte of the request was sent, so the request did not and will not
	// run.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoProcess: the listed process of the target has ended, and no other one answers at its address.
	ErrNoProcess = fmt.Errorf("%w: no process of the target answers", ErrNotSent)
	// ErrMayHaveRun: the request was sent and no answer was received.
	ErrMayHaveRun = errors.New("request was sent and no answer was received")
)

// OpenAnswer is a target's answer whose body has not been read yet. The reader must
// close it.
type OpenAnswer interface {
	// Head returns the status and headers of the answer.
	Head() *exchange.Reply
	// Read returns io.EOF only at the end of a complete body.
	io.Reader
	// Close releases the answer. If the body has not been read to its end, Close also
	// ends the exchange with the target.
	Close()
}

// Inspector queries the requests that targets are working on and ends them. Neither
// operation occupies a slot.
type Inspector interface {
	// Report returns the requests that a target is working on. The report is some
	// hundred milliseconds old.
	Report(ctx context.Context, address string) (exchange.Report, error)
	// EndRun ends the run with the given id. The run's memory is moved to evacuateTo,
	// another target of the service that has room, and is freed there. A run that has
	// already ended is not an error.
	EndRun(ctx context.Context, address, id, evacuateTo string) error
}

// HealthChecker checks the health of targets. A target handles a health check as a
// request, so the check waits for a slot at the target.
type HealthChecker interface {
	Health(ctx context.Context, address, path string) (exchange.Health, error)
}

// Sender sends requests to targets.
type Sender interface {
	// Send sends a request and waits for the head of its answer. If ctx is done before
	// the body has been read, the target is told to cancel the request. An error wraps
	// ErrNotSent or ErrMayHaveRun.
	Send(ctx context.Context, address string, d *exchange.Dispatch) (OpenAnswer, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
}
