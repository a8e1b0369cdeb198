package batch

import "time"

// want is the number of items to take: enough to be busy while the next claim
// is on its way, and no more, so that a job of another organisation that comes
// meanwhile does not wait behind chunks taken early, nor an instance with more
// places go without. At least it is an item for each place.
func (c *claimer) want(now load, itemsASecond float64) int {
	ahead := max(float64(c.places()), itemsASecond*c.opts.ClaimAhead.Seconds())
	return int(ahead) - now.fresh
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
