package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxEndTimes bounds the targets whose time of end is kept, endTimesTTL how long it is. Reports
	// of ends at one moment arrive within seconds.
	maxEndTimes = 256
	endTimesTTL = time.Minute
	// coincidenceTime is the time before an end in which the ends of other targets show how many end
	// at one moment by coincidence.
	coincidenceTime = 10 * time.Second
	// leastCoincidence is the probability below which targets that end at one moment do not do so by
	// coincidence.
	leastCoincidence = 0.05
)

// endTimes holds when targets ended lately, whatever they ran. The requests under which they ended may have
// been completed since, and have no ends any more.
type endTimes struct {
	at map[incarnation]time.Time
}

// add records the end of a target. A full table drops the oldest end.
func (t *endTimes) add(id incarnation, at time.Time) {
	if _, known := t.at[id]; known {
		return
	}
	if len(t.at) >= maxEndTimes {
		deleteOldest(t.at, func(ended time.Time) time.Time { return ended })
	}
	t.at[id] = at
}

// deleteOldest deletes the entry of a map with the earliest time.
func deleteOldest[V any](m map[incarnation]V, at func(V) time.Time) {
	delete(m, slices.MinFunc(slices.Collect(maps.Keys(m)), func(a, b incarnation) int { return at(m[a]).Compare(at(m[b])) }))
}

// remove forgets the end of a target at some time, which turned out to run then. It may have ended later.
func (t *endTimes) remove(id incarnation, at time.Time) {
	if t.at[id].Sub(at) < ageTolerance {
		delete(t.at, id)
	}
}

func (t *endTimes) removeExpired(now time.Time) {
	maps.DeleteFunc(t.at, func(_ incarnation, at time.Time) bool { return now.Sub(at) > endTimesTTL })
}

// together returns the number of targets that ended together at a moment, without those that ended under a
// request. It is 0 if so many may have ended then by coincidence, where coincident are expected to: in a
// large fleet, targets that crash by themselves often do so at about the same time.
func (t *endTimes) together(r *endRecord, at time.Time, coincident float64) (count int) {
	for id, ended := range t.at {
		if r.ends[id] == nil && sameMoment(ended, at) {
			count++
		}
	}
	if count > 0 && atLeast(count, coincident) >= leastCoincidence {
		return 0
	}
	return count
}

// coincident returns how many targets are expected to end within momentGap of a moment by coincidence. It
// counts the moments before at which any target ended, as those that end together have one cause.
func (t *endTimes) coincident(at time.Time) float64 {
	var moments [coincidenceTime/momentGap + 1]bool
	oldest, count, distinct := at, 0, 0
	for _, ended := range t.at {
		before := at.Sub(ended)
		if before < momentGap || before > coincidenceTime {
			continue
		}
		count++
		if moment := &moments[before/momentGap]; !*moment {
			*moment = true
			distinct++
		}
		if ended.Before(oldest) {
			oldest = ended
		}
	}
	span := coincidenceTime
	if len(t.at) >= maxEndTimes {
		span = min(span, at.Sub(oldest))
	}
	all := max(1, float64(span/momentGap))
	if none := all - float64(distinct); none >= 1 {
		// In a Poisson process, the share of moments at which none ended is exp(-mean).
		return -2 * math.Log(none/all)
	}
	return 2 * float64(count) / all
}

// sameMoment reports whether two targets ended together, as those of a rack or a failure domain do.
func sameMoment(a, b time.Time) bool { return a.Sub(b).Abs() < momentGap }

// countSimultaneous updates the number of targets that ended together with each end at some moment. Each
// instance counts those that it learns of. Only the one that saw an end tells the first others, with the next
// heartbeat, for those that learn of fewer.
func (e *Evidence) countSimultaneous(at time.Time) {
	coincident := e.endTimes.coincident(at)
	for _, r := range e.ends.records {
		for _, end := range r.ends {
			if sameMoment(end.at, at) && end.raiseSimultaneous(e.endTimes.together(r, end.at, coincident)) && end.seenBy == e.self {
				r.changed = e.nextVersion()
				r.changedHere = r.changed
			}
		}
	}
}

// metCommonFailure reports whether other targets ended together with one of these.
func (r *RequestEnds) metCommonFailure() bool {
	return slices.ContainsFunc(r.Ends, func(end RequestEnd) bool { return end.Simultaneous > 0 })
}

// raiseSimultaneous applies a count of the targets that ended together with this one. It reports whether these
// are the first.
func (e *requestEnd) raiseSimultaneous(count int) (first bool) {
	first = e.simultaneous == 0 && count > 0
	e.simultaneous = max(e.simultaneous, count)
	return first
}
