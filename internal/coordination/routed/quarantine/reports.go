package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Since returns what has changed since a version, nil if nothing has. Version 0 returns all. With
// ownEnds, it leaves out the ended targets that others have told this instance.
func (e *Evidence) Since(now time.Time, version uint64, ownEnds bool) *Report {
	if e.version == version {
		return nil
	}
	if version > e.version {
		// The reader has read another incarnation.
		version = 0
	}
	report := &Report{Version: e.version}
	for _, c := range e.crashes.byTime() {
		if c.changed > version {
			report.Crashes = append(report.Crashes, c.report(now))
		}
	}
	for part, event := range e.began {
		if event.changed > version {
			report.Began = append(report.Began, FirstEvent{Part: part, Age: now.Sub(event.at)})
		}
	}
	slices.SortFunc(report.Began, func(a, b FirstEvent) int { return cmp.Compare(a.Part, b.Part) })
	for _, c := range e.closures.all {
		if c.changed > version {
			report.Closures = append(report.Closures, c.report(now))
		}
	}
	slices.SortFunc(report.Closures, func(a, b Closure) int { return cmp.Compare(keyOf(a.Parts), keyOf(b.Parts)) })
	for _, r := range e.ends.records {
		if r.changedHere > version || r.changed > version && !ownEnds {
			report.Requests = append(report.Requests, r.report(now))
		}
	}
	slices.SortFunc(report.Requests, func(a, b RequestEnds) int { return cmp.Compare(a.Key, b.Key) })
	return report
}

// Merge applies a report of another instance. It returns what was closed and opened by it, and the
// requests of which it tells something new.
func (e *Evidence) Merge(now time.Time, report *Report) (closed, opened []Closure, learned []RequestEnds) {
	for i := range report.Crashes {
		c := &report.Crashes[i]
		if c.Age >= 0 && c.Age < crashTTL {
			e.addCrash(now.Add(-c.Age), incarnation{c.Target, c.Started}, c.Parts, c.SeenBy)
		}
	}
	for _, event := range report.Began {
		if event.Age >= 0 && e.crashes.names(event.Part, time.Time{}, time.Time{}) {
			e.mergeBeganLater(event.Part, now.Add(-event.Age))
		}
	}
	for i := range report.Closures {
		before, after := e.mergeClosure(now, &report.Closures[i])
		switch {
		case after > before:
			closed = append(closed, report.Closures[i])
		case after < before:
			opened = append(opened, report.Closures[i])
		}
	}
	for i := range report.Requests {
		if e.MergeEnds(now, &report.Requests[i]) {
			learned = append(learned, report.Requests[i])
		}
	}
	return closed, opened, learned
}

// mergeBeganLater records a first event that another instance reports, unless it is one that is
// known already and has come here on two ways.
func (e *Evidence) mergeBeganLater(part string, at time.Time) {
	if at.After(e.began[part].at.Add(ageTolerance)) || e.crashes.names(part, e.began[part].at, at) {
		e.mergeBegan(part, at)
	}
}

// mergeClosure applies a closure that another instance reports. It returns the states of the parts before and after.
func (e *Evidence) mergeClosure(now time.Time, reported *Closure) (before, after closureState) {
	key := keyOf(reported.Parts)
	known := e.closures.all[key]
	before = known.state()
	switch {
	case len(reported.Parts) == 0 || reported.LastCrashAge > closureTTL || reported.LastCrashAge < 0:
	case known != nil:
		if known.merge(now, reported) {
			known.changed = e.nextVersion()
		}
	case isRequestKey(key) || e.closures.hasRoom():
		known = fromReport(now, reported)
		known.changed = e.nextVersion()
		e.closures.add(known)
	}
	return before, known.state()
}

// Adopt applies a closure that the store has. It reports whether it was adopted. If this instance
// knows the same one, it only learns of failed trials: the times of the store are by the clock of the
// instance that wrote it.
func (e *Evidence) Adopt(now time.Time, stored *Closure) bool {
	if known := e.closures.all[keyOf(stored.Parts)]; known != nil {
		if stored.Trials > known.trials {
			known.trials, known.changed = stored.Trials, e.nextVersion()
		}
		return false
	}
	_, state := e.mergeClosure(now, stored)
	return state == stateClosed
}
