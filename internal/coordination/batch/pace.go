package batch

import (
	"time"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

// want is the number of items to take: enough to be busy while the next claim
// is on its way, and no more, so that a job of another organisation that comes
// meanwhile does not wait behind chunks taken early, nor an instance with more
// places go without. At least it is an item for each place.
func (c *claimer) want(now load, itemsASecond float64) int {
	ahead := max(float64(c.places()), itemsASecond*c.opts.ClaimAhead.Seconds())
	return int(ahead) - now.fresh
}

// room is the number of items that may still be held, by their number and by
// the memory that they are likely to take.
func (c *claimer) room(now load) int {
	room := c.opts.MaxHeldChunks*protocol.MaxChunkItems - now.items
	left := c.opts.MaxHeldBytes - now.bytes
	if left <= 0 {
		return 0
	}
	if c.bodyBytes > 0 {
		room = min(room, max(1, left/c.bodyBytes))
	}
	return room
}

func meanBody(items []bulk.Item) int {
	total := 0
	for i := range items {
		total += len(items[i].Body)
	}
	return total / max(1, len(items))
}

// pace measures how many items an instance starts a second.
type pace struct {
	started int
	at      time.Time
	rate    float64
}

// paceWindow is the time over which the pace is averaged.
const paceWindow = 10 * time.Second

func (p *pace) update(started int, now time.Time) float64 {
	if p.at.IsZero() {
		p.started, p.at = started, now
		return 0
	}
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return p.rate
	}
	latest := float64(started-p.started) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/paceWindow.Seconds())
	p.rate += weight * (latest - p.rate)
	p.started, p.at = started, now
	return p.rate
}
