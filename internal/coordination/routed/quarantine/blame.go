package quarantine

import "slices"

// blame tells which requests caused the ends of targets under them. A target that ends leaves all requests
// that ran there with an end, and only one of them is to blame.
type blame struct {
	evidence *Evidence
	// ends are the ends that no closed part explains, by the key of the request. Requests with fewer than
	// MaxEndedTargets are left out.
	ends map[string][]*requestEnd
}

func (e *Evidence) newBlame() *blame {
	b := &blame{evidence: e, ends: map[string][]*requestEnd{}}
	for key, r := range e.ends.records {
		ends := slices.DeleteFunc(r.counted(), e.explainedByPart)
		if len(ends) >= MaxEndedTargets {
			b.ends[key] = ends
		}
	}
	return b
}

// explainedByPart reports whether a closed part of a prompt explains the end of a target.
func (e *Evidence) explainedByPart(end *requestEnd) bool {
	c := e.crashes.crashes[end.incarnation]
	return c != nil && e.explanation(c) != nil
}

// atOnePoint reports whether MaxEndedTargets ends came after as many events of the run, or at the same event
// of the whole output.
func atOnePoint(ends []*requestEnd) bool {
	events, positions := map[int]int{}, map[int]int{}
	for _, end := range ends {
		events[end.events]++
		positions[end.position]++
		if events[end.events] >= MaxEndedTargets || positions[end.position] >= MaxEndedTargets {
			return true
		}
	}
	return false
}

// isToBlame reports whether a request caused the ends of targets under it: they came at the same point of
// its output, or have no other cause. A common failure of several targets, of a rack for example, is one.
func (b *blame) isToBlame(r *endRecord) bool {
	ends := b.ends[r.key]
	if len(ends) >= maxEnds {
		return true
	}
	if atOnePoint(ends) {
		return len(b.ofCommonFailures(r, ends, endedSeveral)) < len(ends)
	}
	common := b.ofCommonFailures(r, ends, b.endedAtOnePoint)
	unexplained := 0
	for _, end := range ends {
		if !slices.Contains(common, end) && !b.explainedByOther(r, end) {
			unexplained++
		}
	}
	return unexplained >= MaxEndedTargets
}

// endedSeveral reports whether several targets ended under a request, so that it may have caused the ends.
func endedSeveral(r *endRecord) bool { return len(r.counted()) > 1 }

// endedAtOnePoint reports whether targets ended at the same point of a request's output.
func (b *blame) endedAtOnePoint(r *endRecord) bool { return atOnePoint(b.ends[r.key]) }

// ofCommonFailures returns the ends of targets under a request that common failures explain. Each of these
// explains one end at most: a request that ends targets may begin when a rack fails.
func (b *blame) ofCommonFailures(r *endRecord, ends []*requestEnd, mayCause func(*endRecord) bool) (common []*requestEnd) {
	for _, end := range ends {
		explained := len(common) > 0 && sameMoment(common[len(common)-1].at, end.at)
		if !explained && b.ofCommonFailure(r, end, mayCause) {
			common = append(common, end)
		}
	}
	return common
}

// ofCommonFailure reports whether another target ended at the same moment that no request may have caused to
// end: several requests that end targets may do so at one moment.
func (b *blame) ofCommonFailure(r *endRecord, end *requestEnd, mayCause func(*endRecord) bool) bool {
	if end.simultaneous == 0 {
		return false
	}
	byRequests := map[incarnation]bool{}
	for _, other := range b.evidence.ends.records {
		if other == r || mayCause(other) {
			other.addEndsNear(byRequests, end)
		}
	}
	return end.simultaneous > len(byRequests)
}

// addEndsNear adds the other targets that ended under a request about when another end came. The time of an
// end differs between instances, so this covers more than one moment.
func (r *endRecord) addEndsNear(targets map[incarnation]bool, near *requestEnd) {
	for _, end := range r.counted() {
		if end.incarnation != near.incarnation && end.at.Sub(near.at).Abs() < 2*momentGap {
			targets[end.incarnation] = true
		}
	}
}

// explainedByOther reports whether the end of a target under a request has another cause: a request under
// which more targets ended, or under which they ended at the same point of its output, while these did not.
func (b *blame) explainedByOther(r *endRecord, end *requestEnd) bool {
	own := len(b.ends[r.key])
	return slices.ContainsFunc(b.evidence.ends.under(end.incarnation), func(other *endRecord) bool {
		return other.key != r.key && (len(b.ends[other.key]) > own || atOnePoint(b.ends[other.key]))
	})
}
