package slots

import (
	"slices"
	"time"

	"merlintiller/internal/policybench/virtual"
)

// Parameters of the engines in the production deployments. One decode step generates
// one token for each running request.
const (
	slotsPerTarget = 8
	// decodeStepTime is the time of a step with one running request. Each further
	// running request adds stepTimePerRequest.
	decodeStepTime     = 2890 * time.Microsecond
	stepTimePerRequest = 101 * time.Microsecond
	promptTokensPerMs  = 55
	// promptReadOverhead is the fixed time of reading a prompt, spread over the
	// slots of the target.
	promptReadOverhead = 15 * time.Millisecond
	tokensPerEvent     = 6
	// queueLimit is the largest number of requests in the queue of an engine.
	queueLimit = 24
	// connectTime is the time to open a connection.
	connectTime = time.Millisecond
	// promptTokens is the length of a prompt, including shared prefixes.
	promptTokens = 450
)

// engineRequest is a request that is queued or running on an engine.
type engineRequest struct {
	online bool
	// events is the length of the output, produced the part sent so far, both in
	// events of tokensPerEvent tokens. unreadTokens is the number of prompt tokens
	// that the engine has not processed yet.
	events, produced int
	unreadTokens     int
	// onEvent is called for each event, onEnd once after the last event.
	onEvent, onEnd func()
	// removed is set when the request has ended or its connection was closed.
	removed bool
}

// engine is the model of one target.
type engine struct {
	clock          *virtual.Clock
	id             string
	domain         string
	running        []*engineRequest
	queue          []*engineRequest
	roundScheduled bool
	// lost is set while the target is unreachable.
	lost bool
	// stepFactor multiplies the time of a decode step.
	stepFactor float64
}

// offer puts a request into the engine's queue and reports whether there was room. A
// lost engine accepts every request and never answers.
func (e *engine) offer(r *engineRequest) bool {
	if e.lost {
		return true
	}
	if len(e.running) >= slotsPerTarget && len(e.queue) >= queueLimit {
		return false
	}
	e.queue = append(e.queue, r)
	e.scheduleRound()
	return true
}

// remove takes a request off the engine, because it has ended or its connection was
// closed.
func (e *engine) remove(r *engineRequest) {
	r.removed = true
	isRemoved := func(other *engineRequest) bool { return other.removed }
	e.running = slices.DeleteFunc(e.running, isRemoved)
	e.queue = slices.DeleteFunc(e.queue, isRemoved)
}

// fail drops all running and queued requests without notifying their senders.
func (e *engine) fail() {
	e.lost = true
	e.running, e.queue = nil, nil
}

// scheduleRound schedules rounds for as long as the engine has requests. A round
// produces one event of each running request.
func (e *engine) scheduleRound() {
	if e.roundScheduled || e.lost {
		return
	}
	for len(e.running) < slotsPerTarget && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	e.roundScheduled = true
	e.clock.After(e.roundTime(), func() {
		e.roundScheduled = false
		e.finishRound()
		e.scheduleRound()
	})
}

// roundTime returns the time to generate the tokens of one event and to process the
// prompts that are still unread.
func (e *engine) roundTime() time.Duration {
	stepTime := decodeStepTime + time.Duration(len(e.running)-1)*stepTimePerRequest
	took := time.Duration(tokensPerEvent * float64(stepTime) * e.stepFactor)
	for _, r := range e.running {
		if r.unreadTokens > 0 {
			took += time.Duration(r.unreadTokens) * time.Millisecond / promptTokensPerMs
			took += promptReadOverhead / slotsPerTarget
			r.unreadTokens = 0
		}
	}
	return took
}

// finishRound delivers one event of each running request and ends the requests that
// are complete.
func (e *engine) finishRound() {
	var done []*engineRequest
	for _, r := range slices.Clone(e.running) {
		r.produced++
		r.onEvent()
		if r.produced >= r.events && !r.removed {
			done = append(done, r)
		}
	}
	for _, r := range done {
		e.remove(r)
		r.onEnd()
	}
}
