package online

import (
	"context"
	"strconv"
	"time"

	"github.com/thejerf/suture/v4"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/ring"
)

// cancellation asks a target to stop a call that nobody waits for.
type cancellation struct {
	address string
	id      protocol.CallID
}

const (
	// cancelDepth bounds the waiting cancels; more are dropped, which costs
	// the target work and no caller anything.
	cancelDepth = 1024
	// cancelWorkers send them, so that one frozen target holds up a quarter.
	cancelWorkers = 4
)

// canceller sends cancels off the callers' path.
type canceller struct {
	target  external.Target
	timeout time.Duration
	waiting *ring.Ring[cancellation]
}

func newCanceller(target external.Target, timeout time.Duration) *canceller {
	return &canceller{target: target, timeout: timeout, waiting: ring.New[cancellation]("cancel", cancelDepth)}
}

func (c *canceller) offer(address string, id protocol.CallID) {
	c.waiting.Offer(cancellation{address: address, id: id})
}

func (c *canceller) services() []suture.Service {
	var out []suture.Service
	for i := range cancelWorkers {
		out = append(out, &cancelWorker{canceller: c, name: "cancel " + strconv.Itoa(i)})
	}
	return out
}

type cancelWorker struct {
	*canceller
	name string
}

// String names the duty.
func (c *cancelWorker) String() string { return c.name }

// Serve implements suture.Service.
func (c *cancelWorker) Serve(ctx context.Context) error {
	for {
		next, err := c.waiting.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		c.send(ctx, next)
	}
}

func (c *cancelWorker) send(ctx context.Context, next cancellation) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.target.Cancel(ctx, next.address, next.id); err != nil {
		published.Add("cancel_failed", 1)
	}
}
