package slots

import (
	"slices"
	"time"

	"merlintiller/internal/policybench/virtual"
)

// The users' engines. A step makes one token for each request that runs.
const (
	slotsEach   = 8
	stepTime    = 2890 * time.Microsecond
	stepPerRun  = 101 * time.Microsecond
	tokensByMs  = 55
	firstExtra  = 15 * time.Millisecond
	eventTokens = 6
	// queueEach are the requests that wait at an engine at most.
	queueEach = 24
	// connectTime is the time of a new connection.
	connectTime = time.Millisecond
	// promptTokens are those of a prompt, shared parts included.
	promptTokens = 450
)

// run is a request at an engine.
type run struct {
	online bool
	// events is the length of the output, made what there is of it. Of the tokens in
	// unread the engine has not read the prompt yet.
	events, made int
	unread       int
	// event is called for each event, ended once after the last one.
	event, ended func()
	gone         bool
}

// engine is one target.
type engine struct {
	clock   *virtual.Clock
	id      string
	domain  string
	running []*run
	queue   []*run
	turning bool
	lost    bool
}

// offer gives a request to the engine. It is refused while the queue is full. One that
// is offered to a lost engine gets no answer.
func (e *engine) offer(r *run) bool {
	if e.lost {
		return true
	}
	if len(e.running) >= slotsEach && len(e.queue) >= queueEach {
		return false
	}
	e.queue = append(e.queue, r)
	e.turn()
	return true
}

// leave ends a request whose connection was closed.
func (e *engine) leave(r *run) {
	r.gone = true
	isGone := func(other *run) bool { return other.gone }
	e.running = slices.DeleteFunc(e.running, isGone)
	e.queue = slices.DeleteFunc(e.queue, isGone)
}

// lose ends everything that runs, without a word.
func (e *engine) lose() {
	e.lost = true
	e.running, e.queue = nil, nil
}

// turn makes one event of each request that runs, again and again.
func (e *engine) turn() {
	if e.turning || e.lost {
		return
	}
	for len(e.running) < slotsEach && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	e.turning = true
	e.clock.After(e.turnTime(), func() {
		e.turning = false
		e.made()
		e.turn()
	})
}

// turnTime is the time of the tokens of one event, and of the prompts that are read
// meanwhile.
func (e *engine) turnTime() time.Duration {
	step := stepTime + time.Duration(len(e.running)-1)*stepPerRun
	took := eventTokens * step
	for _, r := range e.running {
		if r.unread > 0 {
			took += time.Duration(r.unread) * time.Millisecond / tokensByMs
			took += firstExtra / slotsEach
			r.unread = 0
		}
	}
	return took
}

func (e *engine) made() {
	var done []*run
	for _, r := range slices.Clone(e.running) {
		r.made++
		r.event()
		if r.made >= r.events && !r.gone {
			done = append(done, r)
		}
	}
	for _, r := range done {
		e.leave(r)
		r.ended()
	}
}
