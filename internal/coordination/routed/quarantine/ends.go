package quarantine

import "time"

// TargetEnded records that a target ended, or seems to have ended, while a request ran there. It
// returns what is known of the request then, and false if that has not changed.
func (e *Evidence) TargetEnded(now time.Time, lost *LostRequest, state EndState) (RequestEnds, bool) {
	r := e.ends.record(lost.Key, lost.ID)
	changed := e.addEnd(r, requestEnd{
		incarnation: incarnation{lost.Target, lost.Started}, at: lost.At, events: lost.Events, seenBy: e.self, state: state,
	})
	return r.report(now), changed
}

// Completed records that a target completed a request. It returns false if no target is known to
// have ended under it.
func (e *Evidence) Completed(now time.Time, key string) bool {
	r := e.ends.records[key]
	if r == nil || len(r.ends) == 0 || !r.complete(now) {
		return false
	}
	r.changed = e.nextVersion()
	return true
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
			incarnation: incarnation{end.Target, end.Started}, at: now.Add(-end.Age), events: end.Events, seenBy: end.SeenBy, state: end.State,
		}) || changed
	}
	return changed
}

// addEnd adds the end of a target to a record. It returns false if nothing has changed.
func (e *Evidence) addEnd(r *endRecord, end requestEnd) bool {
	if !r.add(end) {
		return false
	}
	r.changed = e.nextVersion()
	return true
}

// Ends returns the number of targets that ended under a request.
func (e *Evidence) Ends(key string) int {
	r := e.ends.records[key]
	if r == nil {
		return 0
	}
	return len(r.counted())
}
