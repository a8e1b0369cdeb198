// Package roster holds the targets that the platform lists and the failure domains
// that operators have drained. It has no clock and does no I/O: changes and the
// current time are passed in.
package roster

import (
	"maps"
	"slices"
	"time"
)

// Target is the entry of one target in the platform's list.
//
// Instances exchange the list under the field names of Target. They compare their lists
// by a digest (fleetview) of the fields that all releases know.
type Target struct {
	// ID identifies one process of a target. If a restarted process keeps the id,
	// Started differs.
	ID string
	// Service is the name of the service that the target belongs to.
	Service string
	// Address is "ip:port". Another target may get it after this one terminates.
	Address string
	// Domain is the target's failure domain.
	Domain string
	// Version is the version of the target's software, not of its model weights. Empty:
	// unknown, since the entry comes from an instance whose release does not send it.
	Version string
	// Slots is the number of requests that the target runs concurrently. 0: unknown.
	Slots int
	// Leaving is set if the target is shutting down and accepts no new requests.
	Leaving bool
	// Lapsed is set if the target is used without an entry, which may have lapsed in an outage of
	// the store. It is not set in lists that are sent to other instances.
	Lapsed bool
	// Started is when the target started, in Unix milliseconds. 0: unknown.
	Started int64
	// Seq is the number that the target gave the entry; it grows each time that the target
	// renews it. 0: unknown.
	Seq int64
	// WarmUp is the remaining warm-up time of the target when the entry was written.
	WarmUp time.Duration
	// Warming is the warm-up state by this instance's clock. It is empty in lists
	// that are sent to other instances.
	Warming Warming
	// HealthPath is the URL path of the target's health check. It is empty in lists
	// that are sent to other instances.
	HealthPath string
}

// Warming describes the warm-up of a target: the time after its start during which it
// can serve only few requests.
type Warming struct {
	// Until is the end of the warm-up by this instance's clock.
	Until time.Time
	// Assumed is set if the target has not reported Until itself.
	Assumed bool
	// Lasts is the duration of a warm-up, counted from the target's start.
	Lasts time.Duration
	// Rate is the maximum number of requests a second that may start at the target
	// during its warm-up, from all instances together. 0: no limit.
	Rate float64
}

// Roster is the list of targets. It is not safe for concurrent use.
type Roster struct {
	targets map[string]Target
	// inGrace holds, by target id, the entries that disappeared while the list may
	// have been incomplete, because the store was unavailable.
	inGrace map[string]graceEntry
	// mark is the offset in the store up to which the list has been applied.
	mark int64
}

// graceEntry is a target that may be used without an entry until a time.
type graceEntry struct {
	target Target
	until  time.Time
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{targets: map[string]Target{}, inGrace: map[string]graceEntry{}}
}

// Mark returns the offset in the store up to which the list has been applied. Of two
// lists the one with the larger mark is the newer, whichever instance read it.
func (r *Roster) Mark() int64 { return r.mark }

// Put adds or replaces an entry. As with Remove and Invalidate, a record with an offset below the
// mark is ignored: the list was adopted from an instance that had read further, and contains it.
func (r *Roster) Put(offset int64, t Target) {
	if !r.advance(offset) {
		return
	}
	r.targets[t.ID] = t
	delete(r.inGrace, t.ID)
}

// Remove removes an entry. If graceUntil is not zero, the target may be used until then,
// unless its entry said that it is leaving.
//
// The grace period covers an outage of the platform's store that exceeds the lifetime
// of the entries. When the store returns, its list is empty until the targets register
// again, although all of them serve; without the grace period all requests would be
// rejected meanwhile.
func (r *Roster) Remove(offset int64, id string, graceUntil time.Time) {
	if r.advance(offset) {
		r.remove(id, graceUntil)
	}
}

func (r *Roster) remove(id string, graceUntil time.Time) {
	t, known := r.targets[id]
	if !known {
		return
	}
	delete(r.targets, id)
	if !t.Leaving && !graceUntil.IsZero() {
		r.inGrace[id] = graceEntry{target: t, until: graceUntil}
	}
}

// Invalidate applies an entry that describes no usable target: the target is not used
// any more, without a grace period.
func (r *Roster) Invalidate(offset int64, id string) {
	if !r.advance(offset) {
		return
	}
	delete(r.targets, id)
	delete(r.inGrace, id)
}

// Replace adopts a full list as of a mark and reports whether it did. Entries that the
// list lacks are removed as by Remove. A list with a smaller mark than the current one
// is ignored.
func (r *Roster) Replace(mark int64, list []Target, graceUntil time.Time) bool {
	if mark < r.mark {
		return false
	}
	r.mark = mark
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if known := r.targets[t.ID]; t.Version == "" && known.sameIncarnation(t) {
			t.Version = known.Version
		}
		r.targets[t.ID] = t
		delete(r.inGrace, t.ID)
	}
	for id := range r.targets {
		if !listed[id] {
			r.remove(id, graceUntil)
		}
	}
	return true
}

// sameIncarnation reports whether two entries are of the same process of a target.
func (t Target) sameIncarnation(other Target) bool {
	return t.ID == other.ID && t.Started == other.Started && t.Address == other.Address
}

// HasUnknownVersion reports whether the version of any listed target is not known.
func (r *Roster) HasUnknownVersion() bool {
	for _, t := range r.targets {
		if t.Version == "" {
			return true
		}
	}
	return false
}

// advance records that the entry at an offset is applied. It returns false if the list already
// contains that entry or a later one.
func (r *Roster) advance(offset int64) bool {
	if offset < r.mark {
		return false
	}
	r.mark = offset + 1
	return true
}

// Usable returns the targets that may get requests at a time, sorted by id.
func (r *Roster) Usable(now time.Time) []Target {
	out := make([]Target, 0, len(r.targets)+len(r.inGrace))
	for _, t := range r.targets {
		if !t.Leaving {
			out = append(out, t)
		}
	}
	for id, l := range r.inGrace {
		if now.Before(l.until) {
			l.target.Lapsed = true
			out = append(out, l.target)
		} else {
			delete(r.inGrace, id)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// NextExpiry returns when the next grace period ends, zero if there is none. Usable
// returns a different list from then on.
func (r *Roster) NextExpiry() (end time.Time) {
	for _, l := range r.inGrace {
		if end.IsZero() || l.until.Before(end) {
			end = l.until
		}
	}
	return end
}

// All returns the listed targets, sorted by id.
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
