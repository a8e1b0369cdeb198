package batchjobs

import "time"

const (
	// initialRunTime and initialEvents are the estimates before any item has
	// finished.
	initialRunTime = 5 * time.Second
	initialEvents  = 200
	// sampleWeight is the weight of each further item in the moving averages.
	sampleWeight = 0.1
	// minRemainingShare is the least part of the usual run time that an item is
	// expected to need, however far it has come.
	minRemainingShare = 0.1
)

// runEstimate is the usual run time and length of items, as moving averages.
type runEstimate struct {
	runTime time.Duration
	events  float64
}

func newRunEstimate() runEstimate { return runEstimate{runTime: initialRunTime, events: initialEvents} }

// observe adds a finished item to the averages.
func (e *runEstimate) observe(events int, runTime time.Duration) {
	e.runTime += time.Duration(sampleWeight * float64(runTime-e.runTime))
	e.events += sampleWeight * (float64(events) - e.events)
}

// timeOf estimates the run time for a number of events.
func (e *runEstimate) timeOf(events int) time.Duration {
	return time.Duration(float64(events) / e.events * float64(e.runTime))
}

// remaining estimates the run time left for an item that has some events already.
func (e *runEstimate) remaining(events int) time.Duration {
	share := max(minRemainingShare, 1-float64(events)/e.events)
	return time.Duration(share * float64(e.runTime))
}
