package quarantine

import "time"

// MaxEndedTargets is the number of targets that may end under a request before it goes to no
// further one.
const MaxEndedTargets = 3

// TargetEnded records that a target ended, or seems to have ended, while a request ran there. It
// returns what is known of the request then, and whether other instances have to learn of a change.
func (e *Evidence) TargetEnded(now time.Time, lost *LostRequest, state EndState) (RequestEnds, bool) {
	r := e.ends.record(lost.Key, lost.ID)
	id := incarnation{lost.Target, lost.Started}
	losses := 1
	if known := r.ends[id]; known != nil {
		losses += known.losses
	}
	changed := e.addEnd(r, requestEnd{
		incarnation: id, at: lost.At, events: lost.Events, position: lost.Position, ran: lost.Ran, seenBy: e.self, state: state, losses: losses,
	})
	if changed {
		r.changedHere = r.changed
	}
	return r.report(now), changed
}

// Completed records that a target completed a request. It reports whether a target had ended under it,
// and returns the closure that this opens, nil if there is none.
func (e *Evidence) Completed(now time.Time, key string) (acquitted bool, opened *Closure) {
	r := e.ends.records[key]
	if r == nil || len(r.ends) == 0 || !r.complete(now) {
		return false, nil
	}
	r.changed = e.nextVersion()
	r.changedHere = r.changed
	if known := e.closures.all[key]; known != nil && known.open(now) {
		known.changed = e.nextVersion()
		report := known.report(now)
		opened = &report
	}
	return true, opened
}

// MergeEnds applies what another instance or the store knows of the targets that ended under a
// request. It returns false if nothing has changed.
func (e *Evidence) MergeEnds(now time.Time, reported *RequestEnds) (changed bool) {
	if !isRequestKey(reported.Key) {
		return false
	}
	known := e.ends.records[reported.Key]
	if known == nil && len(reported.Ends) == 0 {
		return false
	}
	r := e.ends.record(reported.Key, reported.Request)
	if reported.Completed && reported.CompletedAge >= 0 && r.complete(now.Add(-reported.CompletedAge)) {
		r.changed, changed = e.nextVersion(), true
	}
	for _, end := range reported.Ends {
		if end.Age < 0 || end.Age > requestTTL {
			continue
		}
		changed = e.addEnd(r, requestEnd{
			incarnation: incarnation{end.Target, end.Started}, at: now.Add(-end.Age), events: end.Events, position: end.Position, seenBy: end.SeenBy, state: end.State,
			simultaneous: end.Simultaneous, ran: max(0, end.Ran), losses: end.Losses,
		}) || changed
	}
	return changed
}

// addEnd adds the end of a target to a record. It returns false if nothing has changed.
func (e *Evidence) addEnd(r *endRecord, end requestEnd) bool {
	if known := r.ends[end.incarnation]; known != nil && known.raiseSimultaneous(end.simultaneous) {
		r.changed = e.nextVersion()
	}
	if !r.add(end) {
		return false
	}
	r.changed, r.ranSinceEnd = e.nextVersion(), 0
	switch {
	case end.state.counts():
		e.endTimes.add(end.incarnation, end.at)
		e.countSimultaneous(end.at)
	case end.state == EndUndecided:
		return true
	default:
		e.endTimes.remove(end.incarnation, end.at)
	}
	if end.state == EndRefuted {
		e.crashes.remove(end.incarnation, end.at)
	}
	if known := e.closures.all[r.key]; known != nil && known.crashedAgain(end.at) {
		known.changed = e.nextVersion()
	}
	return true
}

// Ends returns the number of targets that ended under a request.
func (e *Evidence) Ends(key string) int {
	count, _ := e.EndsUnder(key)
	return count
}

// EndsUnder returns the number of targets that ended under a request, and when the last one did.
func (e *Evidence) EndsUnder(key string) (count int, last time.Time) {
	r := e.ends.records[key]
	if r == nil {
		return 0, time.Time{}
	}
	ends := r.counted()
	for _, end := range ends {
		last = latestOf(last, end.at)
	}
	return len(ends), last
}

// possibleEnds returns the number of targets that ended under a request, or may turn out to have ended.
func (e *Evidence) possibleEnds(key string) int {
	r := e.ends.records[key]
	if r == nil {
		return 0
	}
	return len(r.countedOrUndecided())
}

// verdictOn tells whether a request caused the ends of targets under it, as far as this instance knows.
func (e *Evidence) verdictOn(key string) verdict {
	r := e.ends.records[key]
	if r == nil {
		return tooFew
	}
	return e.newBlame().judge(r)
}

// closeRequests closes the requests under which MaxEndedTargets targets ended, and opens those of which it
// has turned out since that the targets run or that they are not to blame. It returns both.
func (e *Evidence) closeRequests(now time.Time) (closed, opened []Closure) {
	blame := e.newBlame()
	for key, r := range e.ends.records {
		known := e.closures.all[key]
		isClosed := known != nil && known.closed()
		toBlame := blame.judge(r).blames()
		switch {
		case known != nil && known.openedSince(r):
			// Another instance knows of a cause; only a further end counts against the request.
		case !isClosed && toBlame:
			closed = append(closed, e.closeRequest(now, r, r.countedOrUndecided()))
		case isClosed && !toBlame && r.hasEndsOf(known.targets):
			known.openedAt, known.changed = now, e.nextVersion()
			opened = append(opened, known.report(now))
		}
	}
	return closed, opened
}

// openedSince reports whether a request was opened after the last target ended under it.
func (c *closure) openedSince(r *endRecord) bool {
	ends := r.countedOrUndecided()
	return len(ends) > 0 && c.openedAt.After(ends[len(ends)-1].at)
}

// closeRequest closes a request under which targets ended.
func (e *Evidence) closeRequest(now time.Time, r *endRecord, ends []*requestEnd) Closure {
	c := e.closures.all[r.key]
	if c == nil {
		c = &closure{parts: []string{r.key}}
		e.closures.add(c)
	}
	c.targets, c.seenBy = nil, nil
	for _, end := range ends {
		c.targets = appendNew(c.targets, end.target)
		c.seenBy = appendNew(c.seenBy, end.seenBy)
	}
	c.crashes, c.closedAt, c.crashed, c.changed = len(ends), now, ends[len(ends)-1].at, e.nextVersion()
	return c.report(now)
}
