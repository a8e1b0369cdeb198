package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// maxCrashes bounds the crashes that are kept, maxSuspects the parts of one crash, and
	// maxWitnesses the instances that are named for it.
	maxCrashes   = 64
	maxSuspects  = 32
	maxWitnesses = 4
)

// incarnation identifies one run of a target's process.
type incarnation struct {
	target  string
	started int64
}

// crash is the end of an incarnation while requests waited there for their first event.
type crash struct {
	incarnation
	at    time.Time
	parts map[string]bool
	// seenBy are sorted.
	seenBy  []string
	changed uint64
}

// addWitness adds an instance that saw the crash. It returns false if nothing has changed.
func (c *crash) addWitness(name string) bool {
	at, known := slices.BinarySearch(c.seenBy, name)
	if known || len(c.seenBy) >= maxWitnesses {
		return false
	}
	c.seenBy = slices.Insert(c.seenBy, at, name)
	return true
}

// addPart adds a suspect. It returns false if nothing has changed.
func (c *crash) addPart(part string) bool {
	if c.parts[part] || len(c.parts) >= maxSuspects {
		return false
	}
	c.parts[part] = true
	return true
}

// hasAll reports whether all parts are suspects of the crash.
func (c *crash) hasAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !c.parts[part] })
}

func (c *crash) report(now time.Time) Crash {
	return Crash{
		Target: c.target, Started: c.started, Parts: slices.Sorted(maps.Keys(c.parts)), SeenBy: slices.Clone(c.seenBy), Age: now.Sub(c.at),
	}
}

// crashTable holds the latest crashes.
type crashTable struct {
	crashes map[incarnation]*crash
}

// add returns the crash of an incarnation, and whether it is a new one. It returns nil for a
// crash that is older than all of those that are kept.
func (t *crashTable) add(id incarnation, at time.Time) (found *crash, isNew bool) {
	if known := t.crashes[id]; known != nil {
		return known, false
	}
	if len(t.crashes) >= maxCrashes {
		oldest := t.byTime()[0]
		if at.Before(oldest.at) {
			return nil, false
		}
		delete(t.crashes, oldest.incarnation)
	}
	added := &crash{incarnation: id, at: at, parts: map[string]bool{}}
	t.crashes[id] = added
	return added, true
}

// remove removes the crash of an incarnation at some time, which turned out to run then. It may have crashed later.
func (t *crashTable) remove(id incarnation, at time.Time) {
	if c := t.crashes[id]; c != nil && c.at.Sub(at) < ageTolerance {
		delete(t.crashes, id)
	}
}

// removeExpired removes the crashes that no longer count.
func (t *crashTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ incarnation, c *crash) bool { return now.Sub(c.at) > crashTTL })
}

// byTime returns the crashes, the oldest first.
func (t *crashTable) byTime() []*crash {
	return slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target), cmp.Compare(a.started, b.started))
	})
}

// names reports whether a part is a suspect of a crash after some time, and until another one unless that is zero.
func (t *crashTable) names(part string, after, until time.Time) bool {
	for _, c := range t.crashes {
		if c.parts[part] && c.at.After(after) && (until.IsZero() || !c.at.After(until)) {
			return true
		}
	}
	return false
}
