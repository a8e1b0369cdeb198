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
		ends := slices.DeleteFunc(r.countedOrUndecided(), e.explainedByPart)
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

// atOnePoint reports whether MaxEndedTargets ends came at the same event of the whole output, or after as
// many events of the run.
func atOnePoint(ends []*requestEnd) bool {
	return len(endsAtOnePosition(ends)) > 0 || afterAsManyEvents(ends)
}

// endsAtOnePosition returns MaxEndedTargets ends or more that came at the same event of the whole output, none if
// there are fewer.
func endsAtOnePosition(ends []*requestEnd) []*requestEnd {
	positions := map[int][]*requestEnd{}
	for _, end := range ends {
		if end.events != unknownEvents {
			positions[end.position] = append(positions[end.position], end)
		}
	}
	for _, same := range positions {
		if len(same) >= MaxEndedTargets {
			return same
		}
	}
	return nil
}

// afterAsManyEvents reports whether MaxEndedTargets ends came after as many events of the run.
func afterAsManyEvents(ends []*requestEnd) bool {
	events := map[int][]*requestEnd{}
	for _, end := range ends {
		if end.events != unknownEvents {
			events[end.events] = append(events[end.events], end)
		}
	}
	for _, same := range events {
		if len(same) >= MaxEndedTargets && !passedPoint(same) {
			return true
		}
	}
	return false
}

// passedPoint reports whether targets brought more events in other runs between ends that came after as many
// events of the run each, so that the request does not end all targets there. Few events are often as many.
func passedPoint(ends []*requestEnd) bool {
	for n := 1; n < len(ends); n++ {
		brought := ends[n].position - ends[n-1].position
		if others := brought - ends[n].events; others > ends[n].events {
			return true
		}
	}
	return false
}

// verdict says whether a request caused the ends of targets under it, and why. Its values appear in logs.
type verdict string

const (
	// tooFew: fewer than MaxEndedTargets targets ended that no closed part explains.
	tooFew verdict = "too_few"
	// explained: fewer than MaxEndedTargets ends have no other cause.
	explained verdict = "explained"
	// chance: the request has run for so long that it may have met targets that ended by themselves.
	chance verdict = "chance"
	// onePoint: the targets ended at the same point of the request's output.
	onePoint verdict = "one_point"
	// tooFrequent: the targets ended at different points, but too soon one after the other for chance.
	tooFrequent verdict = "too_frequent"
	// tooMany: maxEnds targets ended, whatever else explains them.
	tooMany verdict = "too_many"
)

// blames reports whether the request caused the ends.
func (v verdict) blames() bool { return v == onePoint || v == tooFrequent || v == tooMany }

// judge tells whether a request caused the ends of targets under it: they came at the same point of its
// output, or have no other cause and are too frequent for chance. A common failure of several targets, of a
// rack for example, is another cause.
func (b *blame) judge(r *endRecord) verdict {
	ends := b.ends[r.key]
	switch {
	case len(ends) < MaxEndedTargets:
		return tooFew
	case len(ends) >= maxEnds:
		return tooMany
	case !atOnePoint(ends):
		return b.judgeAtDifferentPoints(r, ends)
	case len(b.ofCommonFailures(r, ends, endedSeveral)) < len(ends):
		return onePoint
	default:
		return explained
	}
}

// judgeAtDifferentPoints is judge for ends that came at different points of the output.
func (b *blame) judgeAtDifferentPoints(r *endRecord, ends []*requestEnd) verdict {
	common := b.ofCommonFailures(r, ends, b.isSuspect)
	unexplained := 0
	for _, end := range ends {
		if !slices.Contains(common, end) && !b.explainedByOther(r, end) {
			unexplained++
		}
	}
	switch {
	case unexplained < MaxEndedTargets:
		return explained
	case byChance(unexplained, r.runTime(ends)):
		return chance
	default:
		return tooFrequent
	}
}

// endedSeveral reports whether several targets ended under a request, so that it may have caused the ends.
func endedSeveral(r *endRecord) bool { return len(r.counted()) > 1 }

// isSuspect reports whether targets ended at the same point of a request's output, or more often than by
// chance.
func (b *blame) isSuspect(r *endRecord) bool {
	ends := r.counted()
	return atOnePoint(b.ends[r.key]) || len(ends) > 1 && !byChance(len(ends), r.runTime(ends))
}

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
