package faulttest

import (
	"slices"
	"sync"
	"testing"
	"time"

	"merlintiller/internal/protocol"
)

// fault is one of the brief's faults.
type fault string

// The faults.
const (
	noFault    fault = "none"
	killBefore fault = "kill-before"
	killAfter  fault = "kill-after"
	pauseLong  fault = "pause-past-lease"
	logDown    fault = "log-down"
	answerLost fault = "answer-lost"
	duplicate  fault = "duplicate"
	late       fault = "late"
	crossed    fault = "crossed"
	targetDead fault = "target-dead"
	trimmed    fault = "expired-retention"
	cutFromLog fault = "cut-from-log"
	// cutFromDomain and operatorsRacing touch no step here.
	cutFromDomain   fault = "cut-from-domain"
	operatorsRacing fault = "operators-racing"
)

var allFaults = []fault{
	killBefore, killAfter, pauseLong, logDown, answerLost,
	duplicate, late, crossed, targetDead, trimmed,
}

// matrixFaults are those of single cells. The seeded pairs draw from allFaults
// alone, so that each seed stays the pair it was.
var matrixFaults = append(slices.Clone(allFaults), cutFromLog, cutFromDomain, operatorsRacing)

// everywhere says why some faults are none at any step of batch jobs and calls.
var everywhere = map[fault]string{
	cutFromDomain:   "the step calls no other instance; a target that can't be reached is the cell target-dead",
	operatorsRacing: "no operator takes part in the step",
}

// notApplicable logs the cell of a fault that a step can't meet.
func notApplicable(t *testing.T, step string, none map[fault]string, f fault) bool {
	reason, no := none[f]
	if general, all := everywhere[f]; all {
		reason, no = general, true
	}
	if no {
		t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", step, f, reason)
	}
	return no
}

// Durations of faults. A session ends 8 to 10 s after its last renewal.
const (
	pauseTime  = 25 * time.Second
	outageTime = 30 * time.Second
	lateTime   = 3 * time.Second
	deadTime   = 20 * time.Second
)

// plan strikes one fault at one point, once.
type plan struct {
	mu    sync.Mutex
	at    point
	fault fault
	// armed limits the strike to a moment of the scenario, such as after the
	// death of the first holder.
	armed bool
	done  bool
	// struck is closed when the fault has struck, victim is whom.
	struck chan struct{}
	victim *node
}

func newPlan(at point, f fault, armed bool) *plan {
	return &plan{at: at, fault: f, armed: armed, struck: make(chan struct{})}
}

func (p *plan) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

// take decides whether the fault strikes here and now.
func (p *plan) take(n *node, at point) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at == "" || p.done || !p.armed || p.at != at || p.fault == noFault {
		return false
	}
	p.done = true
	p.victim = n
	close(p.struck)
	return true
}

func (p *plan) happened() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// strike makes an effect that belongs to some points, with the planned fault if
// one is due. It is false if the instance gets no answer.
func (n *node) strike(effect func(), points ...point) bool {
	for _, at := range points {
		n.world.note(n, at)
		if p := n.world.due(n, at); p != nil {
			return n.suffer(p.fault, at, effect)
		}
	}
	effect()
	return true
}

// suffer makes an effect under a fault.
func (n *node) suffer(f fault, at point, effect func()) bool {
	switch f {
	case killBefore:
		n.crash()
		return false
	case killAfter:
		effect()
		n.crash()
		return false
	case pauseLong:
		n.stopFor(pauseTime)
		effect()
		return true
	case logDown:
		n.world.outage(outageTime)
		if at == atDispatch || at == atAnswer {
			effect()
			return true
		}
		return false
	case cutFromLog:
		n.cutOff(outageTime)
		if at == atDispatch || at == atAnswer {
			effect()
			return true
		}
		return false
	case answerLost:
		effect()
		return false
	case duplicate:
		effect()
		effect()
		return true
	case late:
		<-time.After(lateTime)
		effect()
		return true
	case crossed:
		if at == atDispatch || at == atAnswer {
			// The answer is that of another call. Its echoed id gives it away,
			// and the item is left without an answer.
			effect()
			return false
		}
		n.world.waitForOther(n, at)
		effect()
		return true
	case targetDead:
		n.world.targets.die(deadTime)
		effect()
		return true
	case trimmed:
		n.world.expireData()
		effect()
		return true
	}
	panic("unknown fault " + string(f))
}

// crash ends an instance like SIGKILL: nothing it does from now on has an
// effect.
func (n *node) crash() { n.cancel() }

// stopFor pauses an instance and its caller for a while.
func (n *node) stopFor(d time.Duration) {
	n.link.pause()
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
	n.link.resume()
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.resumed = time.Now()
}

// resumedAt is when a paused instance went on, zero if none was paused.
func (w *world) resumedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.resumed
}

// cutOff takes the log away from one instance for a while. The others go on and
// end its session meanwhile.
func (n *node) cutOff(d time.Duration) {
	n.link.setDown(true)
	n.world.background.Go(func() {
		select {
		case <-time.After(d):
		case <-n.world.ctx.Done():
		}
		n.link.setDown(false)
	})
}

// outage takes the log away from all instances for a while.
func (w *world) outage(d time.Duration) {
	for _, n := range w.nodes {
		n.link.setDown(true)
	}
	w.background.Go(func() {
		select {
		case <-time.After(d):
		case <-w.ctx.Done():
		}
		for _, n := range w.nodes {
			n.link.setDown(false)
		}
	})
}

// due finds the plan that strikes here and now, if any.
func (w *world) due(n *node, at point) *plan {
	for _, p := range w.plans {
		if p.take(n, at) {
			return p
		}
	}
	return nil
}

// planned says whether a fault is part of the scenario.
func (w *world) planned(f fault) bool {
	for _, p := range w.plans {
		if p.fault == f {
			return true
		}
	}
	return false
}

// waitForOther holds an operation until another instance has come to the same
// point, or for a while, so that the two cross. A cancel crosses with results.
func (w *world) waitForOther(n *node, at point) {
	if at == atCancel {
		at = atResult
	}
	passed := make(chan struct{})
	w.mu.Lock()
	w.waiting = append(w.waiting, &waiter{at: at, not: n, passed: passed})
	w.mu.Unlock()
	select {
	case <-passed:
		// The other one's operation takes effect first.
		<-time.After(100 * time.Millisecond)
	case <-time.After(lateTime):
	}
}

// waiter waits for an instance other than one to come to a point.
type waiter struct {
	at     point
	not    *node
	passed chan struct{}
}

// note tells waiters that an instance has come to a point.
func (w *world) note(n *node, at point) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = slices.DeleteFunc(w.waiting, func(other *waiter) bool {
		match := other.at == at && other.not != n
		if match {
			close(other.passed)
		}
		return match
	})
}

// expireData drops all that DataStream holds, as retention does.
func (w *world) expireData() {
	page, err := w.log.Read(w.ctx, protocol.DataStream, 0, 1, 0)
	if err == nil {
		w.log.Trim(protocol.DataStream, page.Next)
	}
}
