package faulttest

import (
	"slices"
	"sync"
	"testing"
	"time"

	"merlintiller/internal/protocol"
)

// fault is a kind of fault, under the name that the matrix prints.
type fault string

// The kinds of faults.
const (
	noFault          fault = "none"
	killBefore       fault = "kill-before"
	killAfter        fault = "kill-after"
	pausePastLease   fault = "pause-past-lease"
	logDown          fault = "log-down"
	answerLost       fault = "answer-lost"
	duplicate        fault = "duplicate"
	delayed          fault = "late"
	interleaved      fault = "crossed"
	targetDown       fault = "target-dead"
	retentionExpired fault = "expired-retention"
	isolatedFromLog  fault = "cut-from-log"
	// isolatedFromDomain and concurrentOperators affect no step in this package.
	isolatedFromDomain  fault = "cut-from-domain"
	concurrentOperators fault = "operators-racing"
)

var allFaults = []fault{
	killBefore, killAfter, pausePastLease, logDown, answerLost,
	duplicate, delayed, interleaved, targetDown, retentionExpired,
}

// matrixFaults are the faults of the cells with a single fault. Pairs are drawn
// from allFaults only, so that a seed keeps giving the same pairs when a fault is
// added to matrixFaults.
var matrixFaults = append(slices.Clone(allFaults), isolatedFromLog, isolatedFromDomain, concurrentOperators)

// excludedEverywhere gives the reason for each fault that cannot occur at any step
// of batch jobs and calls.
var excludedEverywhere = map[fault]string{
	isolatedFromDomain:  "the step calls no other instance; a target that can't be reached is the cell target-dead",
	concurrentOperators: "no operator takes part in the step",
}

// notApplicable reports whether a fault cannot occur at a step, and logs its cell
// if so.
func notApplicable(t *testing.T, step string, none map[fault]string, f fault) bool {
	reason, no := none[f]
	if general, all := excludedEverywhere[f]; all {
		reason, no = general, true
	}
	if no {
		t.Logf("matrix step=%s fault=%s result=not-applicable reason=%q", step, f, reason)
	}
	return no
}

// Durations of faults. A session ends 8 to 10 s after its last renewal, so a
// pause and an outage outlast it.
const (
	pauseTime      = 25 * time.Second
	outageTime     = 30 * time.Second
	delayTime      = 3 * time.Second
	targetDownTime = 20 * time.Second
)

// injection injects one fault at one point, once.
type injection struct {
	mu    sync.Mutex
	at    point
	fault fault
	// armed is set when the fault may be injected, for example after the crash
	// of the first holder.
	armed bool
	done  bool
	// triggered is closed when the fault is injected; victim is the instance.
	triggered chan struct{}
	victim    *node
}

func newInjection(at point, f fault, armed bool) *injection {
	return &injection{at: at, fault: f, armed: armed, triggered: make(chan struct{})}
}

func (p *injection) arm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = true
}

// trigger reports whether the fault is to be injected into an instance at a
// point, and marks it as injected.
func (p *injection) trigger(n *node, at point) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at == "" || p.done || !p.armed || p.at != at || p.fault == noFault {
		return false
	}
	p.done = true
	p.victim = n
	close(p.triggered)
	return true
}

func (p *injection) wasTriggered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// inject runs effect, an operation that passes the given points, under the fault
// that is planned for one of them, if any. It returns false if the instance gets
// no answer.
func (n *node) inject(effect func(), points ...point) bool {
	for _, at := range points {
		n.fleet.notifyWaiters(n, at)
		if p := n.fleet.pendingInjection(n, at); p != nil {
			return n.applyFault(p.fault, at, effect)
		}
	}
	effect()
	return true
}

// applyFault runs effect under a fault and returns false if the instance gets no
// answer.
func (n *node) applyFault(f fault, at point, effect func()) bool {
	switch f {
	case killBefore:
		n.crash()
		return false
	case killAfter:
		effect()
		n.crash()
		return false
	case pausePastLease:
		n.pauseFor(pauseTime)
		effect()
		return true
	case logDown:
		n.fleet.outage(outageTime)
		if at == atDispatch || at == atAnswer {
			effect()
			return true
		}
		return false
	case isolatedFromLog:
		n.isolateFromLog(outageTime)
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
	case delayed:
		<-time.After(delayTime)
		effect()
		return true
	case interleaved:
		if at == atDispatch || at == atAnswer {
			// The instance receives the answer of another call, detects this by
			// the echoed id, and has no answer for the item.
			effect()
			return false
		}
		n.fleet.waitForOther(n, at)
		effect()
		return true
	case targetDown:
		n.fleet.targets.failFor(targetDownTime)
		effect()
		return true
	case retentionExpired:
		n.fleet.expireData()
		effect()
		return true
	}
	panic("unknown fault " + string(f))
}

// crash ends an instance as SIGKILL does: its later operations have no effect.
func (n *node) crash() { n.cancel() }

// pauseFor pauses an instance and the operation that called it for d.
func (n *node) pauseFor(d time.Duration) {
	n.link.pause()
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
	n.link.resume()
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.resumedTime = time.Now()
}

// resumedAt returns when a paused instance resumed, or the zero time if none was
// paused.
func (tf *testFleet) resumedAt() time.Time {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	return tf.resumedTime
}

// isolateFromLog makes the log unreachable for one instance for d. The other
// instances keep running and end the session of the isolated one.
func (n *node) isolateFromLog(d time.Duration) {
	n.link.setDown(true)
	n.fleet.background.Go(func() {
		select {
		case <-time.After(d):
		case <-n.fleet.ctx.Done():
		}
		n.link.setDown(false)
	})
}

// outage makes the log unreachable for all instances for d.
func (tf *testFleet) outage(d time.Duration) {
	for _, n := range tf.nodes {
		n.link.setDown(true)
	}
	tf.background.Go(func() {
		select {
		case <-time.After(d):
		case <-tf.ctx.Done():
		}
		for _, n := range tf.nodes {
			n.link.setDown(false)
		}
	})
}

// pendingInjection triggers and returns the injection planned for an instance at a
// point, or nil.
func (tf *testFleet) pendingInjection(n *node, at point) *injection {
	for _, p := range tf.injections {
		if p.trigger(n, at) {
			return p
		}
	}
	return nil
}

// injects reports whether the scenario includes a fault.
func (tf *testFleet) injects(f fault) bool {
	for _, p := range tf.injections {
		if p.fault == f {
			return true
		}
	}
	return false
}

// waitForOther delays an operation until another instance has reached the same
// point, at most for delayTime, so that the two operations interleave. A cancel
// interleaves with a record of results.
func (tf *testFleet) waitForOther(n *node, at point) {
	if at == atCancel {
		at = atResult
	}
	passed := make(chan struct{})
	tf.mu.Lock()
	tf.waiting = append(tf.waiting, &waiter{at: at, except: n, passed: passed})
	tf.mu.Unlock()
	select {
	case <-passed:
		// The operation of the other instance takes effect first.
		<-time.After(100 * time.Millisecond)
	case <-time.After(delayTime):
	}
}

// waiter waits until an instance other than except reaches a point.
type waiter struct {
	at     point
	except *node
	passed chan struct{}
}

// notifyWaiters releases the waiters for a point that an instance has reached.
func (tf *testFleet) notifyWaiters(n *node, at point) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.waiting = slices.DeleteFunc(tf.waiting, func(other *waiter) bool {
		match := other.at == at && other.except != n
		if match {
			close(other.passed)
		}
		return match
	})
}

// expireData deletes all entries of DataStream, as retention does.
func (tf *testFleet) expireData() {
	page, err := tf.log.Read(tf.ctx, protocol.DataStream, 0, 1, 0)
	if err == nil {
		tf.log.Trim(protocol.DataStream, page.Next)
	}
}
