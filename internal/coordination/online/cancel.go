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

// cancelRequest asks a target to stop a call whose response is no longer needed.
type cancelRequest struct {
	address string
	id      protocol.CallID
}

const (
	// cancelQueueSize bounds the queued cancel requests. Further requests are
	// dropped: the target then wastes work, but no caller is affected.
	cancelQueueSize = 1024
	// cancelWorkers is the number of goroutines that send cancel requests. With
	// 4, a request to a target that does not answer blocks only one in four.
	cancelWorkers = 4
)

// canceller sends cancel requests in the background, so that callers do not
// wait for them.
type canceller struct {
	target  external.Target
	timeout time.Duration
	queue   *ring.Ring[cancelRequest]
}

func newCanceller(target external.Target, timeout time.Duration) *canceller {
	return &canceller{target: target, timeout: timeout, queue: ring.New[cancelRequest]("cancel", cancelQueueSize)}
}

func (c *canceller) enqueue(address string, id protocol.CallID) {
	c.queue.Offer(cancelRequest{address: address, id: id})
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

// String returns the name of the background service.
func (c *cancelWorker) String() string { return c.name }

// Serve implements suture.Service.
func (c *cancelWorker) Serve(ctx context.Context) error {
	for {
		req, err := c.queue.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		c.send(ctx, req)
	}
}

func (c *cancelWorker) send(ctx context.Context, req cancelRequest) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.target.Cancel(ctx, req.address, req.id); err != nil {
		counters.Add("cancel_failed", 1)
	}
}
