package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ageTolerance is the difference up to which the times of one event count as the same, as they
// come from two instances.
const ageTolerance = 500 * time.Millisecond

// Evidence holds what an instance knows of crashes and closed parts. It performs no I/O and is not
// safe for concurrent use.
type Evidence struct {
	self string
	// version is increased with each change; each entry has that of its last change.
	version  uint64
	crashes  crashTable
	began    map[string]firstEvent
	closures closureTable
	// ends are the requests under which targets ended.
	ends endTable
	// endTimes are the targets that ended lately.
	endTimes endTimes
	// successors are the processes that have replaced others of these targets.
	successors successors
	// recent are the first events that this instance has seen lately, of any part.
	recent recentParts
	// listed is the number of targets, watchedSince when this instance began to learn of their ends without
	// a break.
	listed       int
	watchedSince time.Time
}

// firstEvent is when a request with a suspect last got its first event.
type firstEvent struct {
	at      time.Time
	changed uint64
}

// NewEvidence returns the evidence of an instance that knows nothing yet.
func NewEvidence(self string) *Evidence {
	return &Evidence{
		self: self, crashes: crashTable{map[incarnation]*crash{}}, began: map[string]firstEvent{},
		closures: newClosureTable(), ends: endTable{map[string]*endRecord{}}, endTimes: endTimes{map[incarnation]time.Time{}}, successors: successors{map[incarnation]successor{}}, recent: newRecentParts(),
	}
}

func (e *Evidence) nextVersion() uint64 {
	e.version++
	return e.version
}

// Crashed records that a request with the given parts waited for its first event at a target that
// crashed at some time.
func (e *Evidence) Crashed(at time.Time, target string, started int64, parts []string) {
	e.addCrash(at, incarnation{target, started}, parts, []string{e.self})
}

func (e *Evidence) addCrash(at time.Time, id incarnation, parts, seenBy []string) {
	c, changed := e.crashes.add(id, at)
	if c == nil {
		return
	}
	for _, part := range parts {
		if c.addPart(part) {
			changed = true
			e.mergeBegan(part, e.recent.last(part))
		}
	}
	for _, name := range seenBy {
		changed = c.addWitness(name) || changed
	}
	if !changed {
		return
	}
	c.changed = e.nextVersion()
	for _, known := range e.closures.ofParts {
		if c.hasAll(known.parts) && known.crashedAgain(c.at) {
			known.changed = e.nextVersion()
		}
	}
}

// Began records that a request got its first event from a target. It returns the closures that
// this opens.
func (e *Evidence) Began(now time.Time, parts []string) (opened []Closure) {
	for _, part := range parts {
		e.recent.add(part, now)
		if e.crashes.names(part, e.began[part].at, time.Time{}) {
			e.mergeBegan(part, now)
		}
	}
	for _, known := range e.closures.concerning(parts) {
		if known.open(now) {
			known.changed = e.nextVersion()
			opened = append(opened, known.report(now))
		}
	}
	return opened
}

// mergeBegan records a first event of a request with a suspect.
func (e *Evidence) mergeBegan(part string, at time.Time) {
	if at.After(e.began[part].at) {
		e.began[part] = firstEvent{at, e.nextVersion()}
	}
}

// Evaluate closes the parts under which enough targets have crashed and returns what it has
// closed.
func (e *Evidence) Evaluate(now time.Time) (closed []Closure) {
	e.removeExpired(now)
	return e.closeParts(now, stateClosed)
}

// Suspend suspends the parts under which suspendAfter targets have crashed, although something else may have caused
// that, and returns them. The next request with them is their trial.
func (e *Evidence) Suspend(now time.Time) []Closure { return e.closeParts(now, stateSuspended) }

// closeParts closes or suspends all parts for which the evidence suffices.
func (e *Evidence) closeParts(now time.Time, state closureState) (closed []Closure) {
	for {
		parts, under := e.nextToClose(now, state)
		if parts == nil || !e.closures.hasRoom() {
			return closed
		}
		targets, seenBy := namedIn(under)
		c := e.closures.all[keyOf(parts)]
		if c == nil {
			c = &closure{parts: parts}
			e.closures.add(c)
		}
		c.crashes, c.targets, c.seenBy, c.suspended = len(under), targets, seenBy, state == stateSuspended
		c.closedAt, c.crashed, c.changed = now, under[len(under)-1].at, e.nextVersion()
		closed = append(closed, c.report(now))
	}
}

func (e *Evidence) removeExpired(now time.Time) {
	e.crashes.removeExpired(now)
	e.ends.removeExpired(now)
	e.endTimes.removeExpired(now)
	e.successors.removeExpired(now)
	maps.DeleteFunc(e.began, func(part string, _ firstEvent) bool { return !e.crashes.names(part, time.Time{}, time.Time{}) })
	e.closures.removeExpired(now)
}

// Settled returns when the next crash begins to count, false if none is waiting for that.
func (e *Evidence) Settled(now time.Time) (at time.Time, ok bool) {
	for _, c := range e.crashes.crashes {
		for _, after := range []time.Duration{settleTime, suspendSettleTime} {
			if settles := c.at.Add(after); settles.After(now) && (!ok || settles.Before(at)) {
				at, ok = settles, true
			}
		}
	}
	return at, ok
}

// Closures returns what is closed, parts and requests.
func (e *Evidence) Closures(now time.Time) (out []Closure) {
	for _, c := range e.closures.all {
		if c.closed() {
			out = append(out, c.report(now))
		}
	}
	slices.SortFunc(out, func(a, b Closure) int { return cmp.Compare(keyOf(a.Parts), keyOf(b.Parts)) })
	return out
}
