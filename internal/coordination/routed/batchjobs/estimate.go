package batchjobs

import "time"

const (
	// firstRun and firstEvents are taken for the length of an item until some
	// have ended.
	initialRunTime = 5 * time.Second
	initialEvents  = 200
	// paceWeight is the weight of each further item in the means.
	sampleWeight = 0.1
	// leastLeft is the part of a usual run that an item is thought to need at
	// least, however far it has come.
	minRemainingShare = 0.1
)

// pace is the usual length of items, as moving means.
type runEstimate struct {
	runTime time.Duration
	events  float64
}

func newRunEstimate() runEstimate { return runEstimate{runTime: initialRunTime, events: initialEvents} }

// learn takes in an item that was done.
func (p *runEstimate) observe(events int, worked time.Duration) {
	p.runTime += time.Duration(sampleWeight * float64(worked-p.runTime))
	p.events += sampleWeight * (float64(events) - p.events)
}

// left is how long an item with so many events still takes.
func (p *runEstimate) remaining(events int) time.Duration {
	share := max(minRemainingShare, 1-float64(events)/p.events)
	return time.Duration(share * float64(p.runTime))
}
