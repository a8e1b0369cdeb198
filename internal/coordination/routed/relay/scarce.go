package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/servicetime"
)

const (
	// rejectFraction is the fraction of the route's latency objective within which a request
	// must be rejected to count as rejected in time.
	rejectFraction = 0.25
	// rejectMargin is the part of that time for sending the rejection to the caller.
	rejectMargin = 10 * time.Millisecond
	// retryJitter is the part of Retry-After by which it varies, so that callers that are
	// rejected together do not return together.
	retryJitter = 0.5
)

// queueLimits returns how long the request may wait for a slot, and what decides on its place in
// the queue. Only a request that has not run, and may run at any target, may be rejected: estimates
// of waits are for all targets of a service.
func (c *call) queueLimits(firstBytes servicetime.Estimate) placement.WaitLimits {
	limits := c.waitLimits(firstBytes)
	share := c.shareLimits()
	limits.Organisation, limits.Weight = share.Organisation, share.Weight
	if len(c.tried) == 0 && !c.headSent && !c.origin.Known() {
		limits.RejectBy = c.ReceivedAt.Add(time.Duration(rejectFraction*float64(c.Route.LatencyObjective)) - rejectMargin)
	}
	return limits
}

// shareLimits returns the organisation that slots are charged to, and its weight. Unlike queueLimits,
// it may be called while the request is served.
func (c *call) shareLimits() placement.WaitLimits {
	return placement.WaitLimits{Organisation: c.Organisation, Weight: c.Weight}
}

// recordQueue records what brokers knew while the request waited.
func (c *call) recordQueue(state placement.QueueState) {
	if state != (placement.QueueState{}) {
		c.outcome.Queue = state
	}
}

// fullRetryAfter returns the Retry-After of a request that got no slot: the time until the brokers
// expect room, if they know it. The jitter is derived from the id of the request.
func (c *call) fullRetryAfter() time.Duration {
	state := c.outcome.Queue
	if !state.Rejected || state.RoomIn <= 0 {
		return fullRetryAfter
	}
	part := float64(xxhash.Sum64String(c.Request.ID)) / math.MaxUint64
	return time.Duration(float64(state.RoomIn) * (1 + retryJitter*part))
}

// QueueFields returns the log fields of a request that waited for a slot or was rejected because
// none is expected, nil for others.
func (o *Outcome) QueueFields() []any {
	if o.Queue == (placement.QueueState{}) {
		return nil
	}
	decision := "waited"
	if o.Queue.Rejected {
		decision = "no_slot"
		if o.Queue.OverShare {
			decision = "over_share"
		}
	}
	order := "deadline"
	if o.Queue.Fair {
		order = "share"
	}
	return []any{
		"queue", decision, "queue_order", order, "queue_ahead", o.Queue.Ahead, "queue_expected_ms", o.Queue.Expected.Milliseconds(),
		"queue_freed_per_s", math.Round(o.Queue.FreedPerSecond), "queue_arriving_per_s", math.Round(o.Queue.ArrivingPerSecond),
	}
}
