package admission

import (
	"time"

	"merlintiller/internal/protocol"
)

// WaitID names a waiting call.
type WaitID uint64

// waiting is a call in a queue.
type waiting struct {
	id       WaitID
	deadline time.Time
}

// lane is the queue of one organisation for one service.
type lane struct {
	organisation protocol.OrganisationID
	weight       float64
	calls        []waiting
	// deficit is what the lane may still send in its turn, in calls.
	deficit float64
}

// queue serves lanes by deficit round robin: a lane gets its weight in calls a
// round, and keeps no credit while it is empty.
type queue struct {
	lanes  map[protocol.OrganisationID]*lane
	active []*lane
	length int
	// fresh says that the lane in front has not had its weight this turn.
	fresh bool
}

func newQueue() *queue {
	return &queue{lanes: map[protocol.OrganisationID]*lane{}, fresh: true}
}

func (q *queue) push(org protocol.OrganisationID, weight float64, call waiting) {
	l, ok := q.lanes[org]
	if !ok {
		l = &lane{organisation: org}
		q.lanes[org] = l
		q.active = append(q.active, l)
	}
	l.weight = weight
	l.calls = append(l.calls, call)
	q.length++
}

// pop removes the call whose turn it is.
func (q *queue) pop() (waiting, bool) {
	for len(q.active) > 0 {
		l := q.active[0]
		if q.fresh {
			l.deficit += l.weight
			q.fresh = false
		}
		if l.deficit < 1 {
			q.rotate()
			continue
		}
		l.deficit--
		call := l.calls[0]
		l.calls = l.calls[1:]
		q.length--
		if len(l.calls) == 0 {
			q.drop(0)
		}
		return call, true
	}
	return waiting{}, false
}

func (q *queue) rotate() {
	first := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = first
	q.fresh = true
}

// drop removes an empty lane and its credit.
func (q *queue) drop(i int) {
	delete(q.lanes, q.active[i].organisation)
	q.active = append(q.active[:i], q.active[i+1:]...)
	if i == 0 {
		q.fresh = true
	}
}

// remove takes a call out of the middle of the queue.
func (q *queue) remove(org protocol.OrganisationID, id WaitID) bool {
	l, ok := q.lanes[org]
	if !ok {
		return false
	}
	for i := range l.calls {
		if l.calls[i].id != id {
			continue
		}
		l.calls = append(l.calls[:i], l.calls[i+1:]...)
		q.length--
		if len(l.calls) == 0 {
			q.dropLane(l)
		}
		return true
	}
	return false
}

func (q *queue) dropLane(l *lane) {
	for i := range q.active {
		if q.active[i] == l {
			q.drop(i)
			return
		}
	}
}

// ahead is the number of calls that will be served before a new call of an
// organisation with a weight.
func (q *queue) ahead(org protocol.OrganisationID, weight float64) float64 {
	own := 0
	if l, ok := q.lanes[org]; ok {
		own = len(l.calls)
	}
	rounds := float64(own+1) / weight
	before := float64(own)
	for _, l := range q.active {
		if l.organisation != org {
			before += min(float64(len(l.calls)), rounds*l.weight)
		}
	}
	return before
}
