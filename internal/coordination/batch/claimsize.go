package batch

import (
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// wantedItems is the number of items to claim: enough to keep the instance busy
// until the next claim is decided, and at least one item per slot. It is no more
// than that, so that a new job of another organisation does not wait behind chunks
// claimed early, and other instances with more slots find chunks to claim.
func (c *claimer) wantedItems(current load, itemsPerSecond float64) int {
	ahead := max(float64(c.slotCount()), itemsPerSecond*c.opts.ClaimAhead.Seconds())
	return int(ahead) - current.fresh
}

// claimCapacity is the number of further items that the instance may hold, limited
// by their number and by the estimated memory of their bodies.
func (c *claimer) claimCapacity(current load) int {
	capacity := c.opts.MaxHeldChunks*protocol.MaxChunkItems - current.items
	bytesLeft := c.opts.MaxHeldBytes - current.bytes
	if bytesLeft <= 0 {
		return 0
	}
	if c.meanBodyBytes > 0 {
		capacity = min(capacity, max(1, bytesLeft/c.meanBodyBytes))
	}
	return capacity
}

// meanBodySize is the mean size of the bodies of items in bytes.
func meanBodySize(items []bulk.Item) int {
	total := 0
	for i := range items {
		total += len(items[i].Body)
	}
	return total / max(1, len(items))
}

// startRate measures how many items an instance starts per second.
type startRate struct {
	// started is the number of started items at the last update.
	started int
	// at is the time of the last update.
	at time.Time
	// rate is the moving average, in items per second.
	rate float64
}

// startRateWindow is the time over which the rate is averaged.
const startRateWindow = 10 * time.Second

// update returns the rate, given the number of items started so far.
func (r *startRate) update(started int, now time.Time) float64 {
	if r.at.IsZero() {
		r.started, r.at = started, now
		return 0
	}
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return r.rate
	}
	latest := float64(started-r.started) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/startRateWindow.Seconds())
	r.rate += weight * (latest - r.rate)
	r.started, r.at = started, now
	return r.rate
}
