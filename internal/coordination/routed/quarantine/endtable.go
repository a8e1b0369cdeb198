package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRequests bounds the requests whose ended targets are kept, maxEnds the ended targets of
	// one of them.
	maxRequests = 256
	maxEnds     = 8
	// requestTTL is the time since the last end after which a request is forgotten.
	requestTTL = 2 * time.Hour
)

// unknownEvents is the number of events of an answered run whose sender is lost: the point at which its target ended is not known.
const unknownEvents = -1

// EndState says whether a target really ended. Of two reports the higher state counts. Its values
// are part of the wire format.
type EndState int

const (
	// endOpen: nothing is known. It is not sent.
	endOpen EndState = iota - 2
	// EndUndecided: a process answers at the address that does not tell when it started. It does not count as an end,
	// but the request may have to wait until the list tells whether it is another one.
	EndUndecided
	// EndSuspected: the target refused a connection right after it had closed that of the request.
	// The end counts, since the request may be repeated before the second check.
	EndSuspected
	// EndDismissed: the second check found that the target or the path to it had not ended.
	EndDismissed
	// EndConfirmed: it is known that the target ended.
	EndConfirmed
	// EndConfirmedLater: the same, after the end had been dismissed, so that the request may have had a further run.
	EndConfirmedLater
	// EndRefuted: the process has proved since that it runs. An earlier release takes it for confirmed.
	EndRefuted
)

// counts reports whether the target counts as ended.
func (s EndState) counts() bool {
	return s == EndSuspected || s == EndConfirmed || s == EndConfirmedLater
}

// String returns the name of the state in logs.
func (s EndState) String() string {
	return [...]string{"undecided", "suspected", "dismissed", "confirmed", "confirmed_later", "refuted"}[min(max(s, EndUndecided), EndRefuted)-EndUndecided]
}

// requestEnd is the end of a target while a request ran there.
type requestEnd struct {
	incarnation
	at time.Time
	// events is the number of events that the run had sent, or unknownEvents, position that of the last event of all
	// runs.
	events, position int
	seenBy           string
	state            EndState
	// simultaneous is the number of other targets that ended at the same moment.
	simultaneous int
	// ran is how long targets had worked on the request since its last end.
	ran time.Duration
	// losses is the number of times that the process lost the request while undecided: it may have been another one
	// each time.
	losses int
}

func (e *requestEnd) report(now time.Time) RequestEnd {
	return RequestEnd{Target: e.target, Started: e.started, Events: e.events, Position: e.position, SeenBy: e.seenBy, State: e.state, Simultaneous: e.simultaneous, Ran: e.ran, Losses: e.losses, Age: now.Sub(e.at)}
}

// endRecord holds the targets that ended under one request.
type endRecord struct {
	key string
	// id is the id of an attempt or item, for logs.
	id   string
	ends map[incarnation]*requestEnd
	// ranSinceEnd is how long targets have worked on the request since its last end, as far as trials here have
	// told. The end that follows tells it to all instances.
	ranSinceEnd time.Duration
	// completedAt is when a target last completed the request; ends before do not count.
	completedAt time.Time
	// changed is the version of the last change that others have to learn, changedHere that of the
	// last one that this instance has seen itself.
	changed, changedHere uint64
}

// counted returns the ends that count, the oldest first.
func (r *endRecord) counted() []*requestEnd { return r.ended(EndState.counts) }

// countedOrUndecided returns the ends that count, or may turn out to, the oldest first. One that was undecided is in it
// once for each loss: the list names only the last process.
func (r *endRecord) countedOrUndecided() (out []*requestEnd) {
	for _, end := range r.ended(func(s EndState) bool { return s.counts() || s == EndUndecided }) {
		out = append(out, end)
		for n := 1; n < end.losses; n++ {
			out = append(out, end)
		}
	}
	return out
}

// ended returns the ends in some states since the request was completed, the oldest first.
func (r *endRecord) ended(in func(EndState) bool) (out []*requestEnd) {
	for _, end := range r.ends {
		if in(end.state) && end.at.After(r.completedAt) {
			out = append(out, end)
		}
	}
	slices.SortFunc(out, compareEnds)
	return out
}

// hasDismissed reports whether one of the ends is, or was for a while, dismissed since it could not be confirmed.
func (r *endRecord) hasDismissed() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(r.ends)), func(end *requestEnd) bool {
		return end.state == EndDismissed || end.state == EndConfirmedLater
	})
}

// hasEndsOf reports whether an end of each target is known, whether or not it counts. Otherwise an
// instance that has closed the request knows more.
func (r *endRecord) hasEndsOf(targets []string) bool {
	known := map[string]bool{}
	for id := range r.ends {
		known[id.target] = true
	}
	return !slices.ContainsFunc(targets, func(target string) bool { return !known[target] })
}

// latest is when something last happened.
func (r *endRecord) latest() time.Time {
	at := r.completedAt
	for _, end := range r.ends {
		at = latestOf(at, end.at)
	}
	return at
}

func (r *endRecord) report(now time.Time) RequestEnds {
	out := RequestEnds{Key: r.key}
	if len(r.ends) > 0 {
		out.Request = r.id
	}
	for _, end := range r.ends {
		out.Ends = append(out.Ends, end.report(now))
	}
	slices.SortFunc(out.Ends, func(a, b RequestEnd) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Target, b.Target))
	})
	if !r.completedAt.IsZero() {
		out.Completed, out.CompletedAge = true, now.Sub(r.completedAt)
	}
	return out
}

// add adds an end, raises its state, or replaces it by a later one of the same process. It returns false if nothing has
// changed that others have to learn: a suspected end counts as a confirmed one does.
func (r *endRecord) add(end requestEnd) bool {
	if known := r.ends[end.incarnation]; known != nil {
		switch later := end.at.Sub(known.at); {
		case later > ageTolerance:
			// The process lived on after what was taken for its end.
			end.losses = max(end.losses, known.losses)
			*known = end
			return true
		case later < -ageTolerance && !end.at.IsZero():
			return false
		}
		if end.state == EndUndecided && known.state == EndUndecided && end.losses > known.losses {
			known.losses = end.losses
			return true
		}
		if end.state <= known.state {
			return false
		}
		before := known.state
		known.state = end.state
		return before == EndUndecided || before.counts() != end.state.counts()
	}
	if !end.at.After(r.completedAt) || !r.makeRoom(end.at) {
		return false
	}
	r.ends[end.incarnation] = &end
	return true
}

// makeRoom drops the oldest end if the record is full. It returns false if a new end is older than all.
func (r *endRecord) makeRoom(at time.Time) bool {
	if len(r.ends) < maxEnds {
		return true
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(r.ends)), compareEnds)
	if !at.After(oldest.at) {
		return false
	}
	delete(r.ends, oldest.incarnation)
	return true
}

func compareEnds(a, b *requestEnd) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target))
}

// complete records that a target completed the request. It returns false if that acquits it of no end, and
// may be a completion that is known already.
func (r *endRecord) complete(at time.Time) bool {
	before := len(r.ends)
	maps.DeleteFunc(r.ends, func(_ incarnation, end *requestEnd) bool { return !end.at.After(at) })
	if len(r.ends) == before && !at.After(r.completedAt.Add(ageTolerance)) {
		return false
	}
	r.completedAt = at
	return true
}

// endTable holds the requests under which targets ended.
type endTable struct {
	records map[string]*endRecord
}

// record returns the record of a request and creates it if necessary. A full table drops the request
// with the fewest ends, of these the oldest one: a crash leaves sound requests with one end each.
func (t *endTable) record(key, id string) *endRecord {
	if known := t.records[key]; known != nil {
		return known
	}
	if len(t.records) >= maxRequests {
		least := slices.MinFunc(slices.Collect(maps.Values(t.records)), func(a, b *endRecord) int {
			return cmp.Or(cmp.Compare(len(a.ends), len(b.ends)), a.latest().Compare(b.latest()), cmp.Compare(a.key, b.key))
		})
		delete(t.records, least.key)
	}
	added := &endRecord{key: key, id: id, ends: map[incarnation]*requestEnd{}}
	t.records[key] = added
	return added
}

// removeExpired removes what no longer counts.
func (t *endTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t.records, func(_ string, r *endRecord) bool {
		completed := len(r.ends) == 0 && now.Sub(r.completedAt) > crashTTL
		return completed || now.Sub(r.latest()) > requestTTL
	})
}

// under returns the requests under which an incarnation ended.
func (t *endTable) under(id incarnation) (out []*endRecord) {
	for _, r := range t.records {
		if end := r.ends[id]; end != nil && end.state.counts() {
			out = append(out, r)
		}
	}
	return out
}
