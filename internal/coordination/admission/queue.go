package admission

import (
	"time"

	"merlintiller/internal/protocol"
)

// WaitID identifies a waiting call.
type WaitID uint64

// queuedCall is a call in a queue.
type queuedCall struct {
	id       WaitID
	deadline time.Time
}

// flow holds the waiting calls of one organisation for one service.
type flow struct {
	organisation protocol.OrganisationID
	weight       float64
	calls        []queuedCall
	// deficit is the number of calls that the flow may still send in its turn.
	deficit float64
}

// queue is the queue of one service. It serves its flows by deficit round robin: in each
// round a flow may send as many calls as its weight, and an empty flow keeps no deficit.
type queue struct {
	flows map[protocol.OrganisationID]*flow
	// active holds the flows in the order of their turns.
	active []*flow
	// length is the number of calls in all flows.
	length int
	// quantumDue is set if the first flow has not received its quantum, which is its
	// weight, in this turn.
	quantumDue bool
}

func newQueue() *queue {
	return &queue{flows: map[protocol.OrganisationID]*flow{}, quantumDue: true}
}

// push appends a call to the flow of its organisation. The flow adopts the weight.
func (q *queue) push(org protocol.OrganisationID, weight float64, call queuedCall) {
	f, ok := q.flows[org]
	if !ok {
		f = &flow{organisation: org}
		q.flows[org] = f
		q.active = append(q.active, f)
	}
	f.weight = weight
	f.calls = append(f.calls, call)
	q.length++
}

// pop removes and returns the next call, false if the queue is empty.
func (q *queue) pop() (queuedCall, bool) {
	for len(q.active) > 0 {
		f := q.active[0]
		if q.quantumDue {
			f.deficit += f.weight
			q.quantumDue = false
		}
		if f.deficit < 1 {
			q.rotate()
			continue
		}
		f.deficit--
		call := f.calls[0]
		f.calls = f.calls[1:]
		q.length--
		if len(f.calls) == 0 {
			q.removeFlowAt(0)
		}
		return call, true
	}
	return queuedCall{}, false
}

// rotate ends the turn of the first flow.
func (q *queue) rotate() {
	first := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = first
	q.quantumDue = true
}

// removeFlowAt removes an empty flow with its deficit.
func (q *queue) removeFlowAt(i int) {
	delete(q.flows, q.active[i].organisation)
	q.active = append(q.active[:i], q.active[i+1:]...)
	if i == 0 {
		q.quantumDue = true
	}
}

// remove removes a call from anywhere in the queue. It returns false if the call is not
// in the queue.
func (q *queue) remove(org protocol.OrganisationID, id WaitID) bool {
	f, ok := q.flows[org]
	if !ok {
		return false
	}
	for i := range f.calls {
		if f.calls[i].id != id {
			continue
		}
		f.calls = append(f.calls[:i], f.calls[i+1:]...)
		q.length--
		if len(f.calls) == 0 {
			q.removeFlow(f)
		}
		return true
	}
	return false
}

// removeFlow removes an empty flow.
func (q *queue) removeFlow(f *flow) {
	for i := range q.active {
		if q.active[i] == f {
			q.removeFlowAt(i)
			return
		}
	}
}

// callsAhead estimates the number of calls that are admitted before a new call of an
// organisation with a weight.
func (q *queue) callsAhead(org protocol.OrganisationID, weight float64) float64 {
	own := 0
	if f, ok := q.flows[org]; ok {
		own = len(f.calls)
	}
	rounds := float64(own+1) / weight
	before := float64(own)
	for _, f := range q.active {
		if f.organisation != org {
			before += min(float64(len(f.calls)), rounds*f.weight)
		}
	}
	return before
}
