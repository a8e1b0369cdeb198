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
// its output, or have no other cause.
func (b *blame) isToBlame(r *endRecord) bool {
	ends := b.ends[r.key]
	if atOnePoint(ends) {
		return true
	}
	unexplained := 0
	for _, end := range ends {
		if !b.explainedByOther(r, end) {
			unexplained++
		}
	}
	return unexplained >= MaxEndedTargets
}

// explainedByOther reports whether the end of a target under a request has another cause: a request under
// which more targets ended, or under which they ended at the same point of its output, while these did not.
func (b *blame) explainedByOther(r *endRecord, end *requestEnd) bool {
	own := len(b.ends[r.key])
	return slices.ContainsFunc(b.evidence.ends.under(end.incarnation), func(other *endRecord) bool {
		return other.key != r.key && (len(b.ends[other.key]) > own || atOnePoint(b.ends[other.key]))
	})
}
