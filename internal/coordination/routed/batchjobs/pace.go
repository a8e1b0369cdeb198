package batchjobs

import "time"

const (
	// firstRun and firstEvents are taken for the length of an item until some
	// have ended.
	firstRun    = 5 * time.Second
	firstEvents = 200
	// paceWeight is the weight of each further item in the means.
	paceWeight = 0.1
	// leastLeft is the part of a usual run that an item is thought to need at
	// least, however far it has come.
	leastLeft = 0.1
)

// pace is the usual length of items, as moving means.
type pace struct {
	run    time.Duration
	events float64
}

func newPace() pace { return pace{run: firstRun, events: firstEvents} }

// learn takes in an item that was done.
func (p *pace) learn(events int, worked time.Duration) {
	p.run += time.Duration(paceWeight * float64(worked-p.run))
	p.events += paceWeight * (float64(events) - p.events)
}

// left is how long an item with so many events still takes.
func (p *pace) left(events int) time.Duration {
	share := max(leastLeft, 1-float64(events)/p.events)
	return time.Duration(share * float64(p.run))
}
