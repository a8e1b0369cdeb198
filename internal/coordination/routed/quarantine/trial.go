package quarantine

import (
	"slices"
	"time"
)

const (
	// quietTime is the time without ends of targets after which a trial tells much: an end under it is then
	// hardly chance. It is longer than ends take to become known, and than the pauses within one trouble.
	quietTime = 5 * time.Second
	// quietShare is the part of all targets that may end within quietTime all the same. In a large fleet some
	// target ends at each moment, and a trial is as unlikely to meet it.
	quietShare = 0.02
	// onePointTrialDelay is the time from the last end until a request whose targets ended at one point, but perhaps
	// by chance, has its trial. Little speaks for it, but an accepted item runs again within 20 s of its last failure.
	onePointTrialDelay = 18 * time.Second
	// latestTrial is the part of the time until an item expires after which it has its trial although targets
	// still end: the rest is left to run it. An earlier trial would meet another end, and be the only one.
	latestTrial = 2. / 3
	// claimTime is the time from the claim of a trial until the trial. Two instances that claim
	// it at the same time learn of each other meanwhile.
	claimTime = 2 * time.Second
	// claimTTL is the time after which a claimed trial without a result may be claimed again.
	claimTTL = 15 * time.Second
	// SuspendedClaimTime is the claimTime of what is suspended: as long as reports of claims take in a large fleet.
	SuspendedClaimTime = settleTime
	// maxSuspendedTrials is the number of failed trials that close it. The first one may meet other trouble.
	maxSuspendedTrials = 2
	// suspendedClaimTTL is its claimTTL. It covers the time until an end under the trial is confirmed.
	suspendedClaimTTL = 3 * time.Second
)

// Decision says whether a request may go to a target.
type Decision struct {
	// Closed reports that the request is rejected because of Closure.
	Closed  bool
	Closure Closure
	// RetryAfter is when the parts may be tried again.
	RetryAfter time.Duration
	// Trial reports that the request is the only one that may go to a target, once. Claimed reports that it may be, if it
	// is checked again after SuspendedClaimTime.
	Trial, Claimed bool
}

// check decides on a request with some subjects that expires at some time, zero if it does not.
func (e *Evidence) check(now time.Time, subjects []string, expires time.Time) Decision {
	c, from := e.lastToTry(subjects, expires)
	hasEnds := slices.ContainsFunc(subjects, func(key string) bool { return e.possibleEnds(key) > 0 })
	switch {
	case c == nil:
		return Decision{}
	case !now.Before(from) && !(c.suspended && hasEnds) && e.takeTrial(now, c):
		return Decision{Trial: true, Closure: c.report(now)}
	default:
		return Decision{
			Closed: true, Closure: c.report(now), RetryAfter: max(from.Sub(now), claimTime),
			Claimed: c.suspended && c.trialBy == e.self && c.trialAt.Equal(now),
		}
	}
}

// lastToTry returns the closure that a request is concerned by, nil if there is none, and when it
// may be tried again. Of several it is the one for which that is last.
func (e *Evidence) lastToTry(subjects []string, expires time.Time) (last *closure, from time.Time) {
	for _, c := range e.closures.concerning(subjects) {
		if !c.closed() {
			continue
		}
		if at := e.trialFrom(c, expires); last == nil || at.After(from) {
			last, from = c, at
		}
	}
	return last, from
}

// trialFrom returns when a closure may be tried again for a request that expires at some time. A request
// that may be closed by mistake has its first trial as soon as targets are quiet. While it waits, targets
// may be idle, and the mistake costs its result if the trial comes too late for it.
func (e *Evidence) trialFrom(c *closure, expires time.Time) time.Time {
	if c.suspended && c.trials == 0 {
		return c.crashed
	}
	early := latestOf(c.crashed, e.quietSince()).Add(quietTime)
	if c.suspended {
		return early
	}
	from := c.trialFrom()
	if c.trials > 0 {
		return from
	}
	switch e.doubtOn(c) {
	case noDoubt:
		return from
	case samePoint:
		early = latestOf(early, c.crashed.Add(onePointTrialDelay))
	case differentPoints:
		latest := c.crashed.Add(time.Duration(latestTrial * float64(expires.Sub(c.crashed))))
		if !expires.IsZero() && latest.Before(early) {
			early = latest
		}
	}
	if early.Before(from) {
		return early
	}
	return from
}

// doubt says why a closed request may be sound.
type doubt int

const (
	// noDoubt: targets ended at one position of the output that several of them had reached, or parts are closed.
	// Nor is there an early trial once an end was dismissed: the second check dismisses ends that it can't confirm,
	// as in a failure domain without instances, so that fewer count than the request may have caused.
	noDoubt doubt = iota
	// samePoint: targets ended at one point, but before the first event of their runs, while the request may have
	// waited there, or only after as many events of each run: so many requests meet ends that some do by chance.
	samePoint
	// differentPoints: the ends came at different points of the output.
	differentPoints
)

// doubtOn returns why a closed request may be sound.
func (e *Evidence) doubtOn(c *closure) doubt {
	r := e.ends.records[keyOf(c.parts)]
	if r == nil {
		return noDoubt
	}
	ends := r.counted()
	reached := 0
	for _, end := range endsAtOnePosition(ends) {
		if end.events > 0 {
			reached++
		}
	}
	switch {
	case reached > 1 || r.hasDismissed():
		return noDoubt
	case atOnePoint(ends):
		return samePoint
	default:
		return differentPoints
	}
}

// quietSince returns the time since which only a small part of the targets has ended, as far as this instance
// has watched them.
func (e *Evidence) quietSince() time.Time {
	return latestOf(e.watchedSince, e.endTimes.latest(int(quietShare*float64(e.listed))))
}

// latest returns when the last target ended, not counting a number of later ones, zero if that is not known.
func (t *endTimes) latest(others int) time.Time {
	ended := make([]time.Time, 0, len(t.at))
	for _, at := range t.at {
		ended = append(ended, at)
	}
	if others >= len(ended) {
		return time.Time{}
	}
	slices.SortFunc(ended, func(a, b time.Time) int { return b.Compare(a) })
	return ended[others]
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeTrial reports whether a request is the trial of closed parts that may be tried again. The first
// request that comes then only claims the trial.
func (e *Evidence) takeTrial(now time.Time, c *closure) bool {
	if !c.claimed(now) {
		c.trialBy, c.trialAt, c.trialUsed, c.changed = e.self, now, false, e.nextVersion()
		return false
	}
	if until, _ := c.claimTimes(); c.trialBy != e.self || c.trialUsed || now.Sub(c.trialAt) < until {
		return false
	}
	c.trialUsed = true
	return true
}

// TrialEnded records that the run of a trial has ended without its answer and without the end of its target. It
// tells only that the target has worked on the request for some time since its last end, so another trial may
// follow at once.
func (e *Evidence) TrialEnded(request *Request, ran time.Duration) {
	for _, c := range e.closures.concerning(request.subjects()) {
		if c.trialBy == e.self {
			c.trialUsed = false
		}
	}
	if r := e.ends.records[request.Key]; r != nil {
		r.ranSinceEnd = max(r.ranSinceEnd, ran)
	}
}
