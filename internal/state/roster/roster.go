// Package roster keeps which targets exist, as the platform lists them. It is
// pure: changes and the time come in as arguments.
package roster

import (
	"maps"
	"slices"
	"time"
)

// Target is one listed target.
type Target struct {
	// ID names one start of a target, or several if Started differs.
	ID      string
	Service string
	// Address is "ip:port". Another target may get it once this one is gone.
	Address string
	Domain  string
	// Slots is how many requests it runs at once. 0: not known.
	Slots int
	// Leaving says that the target will go and wants no new requests.
	Leaving bool
	// Started is when the target started, in Unix milliseconds. 0: not known.
	Started int64
	// WarmUp is how much longer the target warms up, from the entry's writing.
	WarmUp time.Duration
	// Warming is what follows for this instance. Lists that others are told lack it.
	Warming Warming
	// HealthPath is where the target says how it is. Lists that others are told lack it.
	HealthPath string
}

// Warming is what is known of the time after a target's start in which it bears few
// requests.
type Warming struct {
	// Until is the end of that time, by this instance's clock. Assumed says that the target
	// has not said so itself.
	Until   time.Time
	Assumed bool
	// Lasts is how long it takes from a start on, Rate how many requests a second may begin
	// meanwhile. A rate of 0 is no bound.
	Lasts time.Duration
	Rate  float64
}

// Roster is not safe for concurrent use.
type Roster struct {
	targets map[string]Target
	// lapsed are entries that vanished while the list could not be trusted,
	// with the time until which their targets may still be used.
	lapsed map[string]lapse
	// mark is the offset of the list that is applied up to here.
	mark int64
}

type lapse struct {
	target Target
	until  time.Time
}

// New returns a roster that knows no target.
func New() *Roster {
	return &Roster{targets: map[string]Target{}, lapsed: map[string]lapse{}}
}

// Mark is the offset up to which the list is applied. A larger mark is a newer
// list, whoever read it.
func (r *Roster) Mark() int64 { return r.mark }

// Put adds or changes an entry.
func (r *Roster) Put(offset int64, t Target) {
	r.advance(offset)
	r.targets[t.ID] = t
	delete(r.lapsed, t.ID)
}

// Remove removes an entry. Its target is still used until a time if that is in
// the future and the target did not say that it leaves.
//
// What goes wrong without that: the platform's store is away for longer than
// entries last. On its return the list is empty for a moment, although every
// target serves; all requests of that moment would be refused.
func (r *Roster) Remove(offset int64, id string, until time.Time) {
	r.advance(offset)
	r.drop(id, until)
}

func (r *Roster) drop(id string, until time.Time) {
	t, known := r.targets[id]
	if !known {
		return
	}
	delete(r.targets, id)
	if !t.Leaving && !until.IsZero() {
		r.lapsed[id] = lapse{target: t, until: until}
	}
}

// Invalidate notes an entry that names no target to use.
func (r *Roster) Invalidate(offset int64, id string) {
	r.advance(offset)
	delete(r.targets, id)
	delete(r.lapsed, id)
}

// Replace takes over a whole list as of a mark. Entries that it lacks are
// dropped as by Drop. An older list than the one known changes nothing.
func (r *Roster) Replace(mark int64, list []Target, until time.Time) bool {
	if mark < r.mark {
		return false
	}
	r.mark = mark
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		r.targets[t.ID] = t
		delete(r.lapsed, t.ID)
	}
	for id := range r.targets {
		if !listed[id] {
			r.drop(id, until)
		}
	}
	return true
}

func (r *Roster) advance(offset int64) {
	r.mark = max(r.mark, offset+1)
}

// Usable gives the targets that may get requests now, by id.
func (r *Roster) Usable(now time.Time) []Target {
	out := make([]Target, 0, len(r.targets)+len(r.lapsed))
	for _, t := range r.targets {
		if !t.Leaving {
			out = append(out, t)
		}
	}
	for id, l := range r.lapsed {
		if now.Before(l.until) {
			out = append(out, l.target)
		} else {
			delete(r.lapsed, id)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// NextExpiry is when the next target that is used without an entry stops being
// used, zero if there is none. Usable gives another list from then on.
func (r *Roster) NextExpiry() (end time.Time) {
	for _, l := range r.lapsed {
		if end.IsZero() || l.until.Before(end) {
			end = l.until
		}
	}
	return end
}

// All gives the listed targets, by id.
func (r *Roster) All() []Target {
	return slices.SortedFunc(maps.Values(r.targets), byID)
}

func byID(a, b Target) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	default:
		return 0
	}
}
