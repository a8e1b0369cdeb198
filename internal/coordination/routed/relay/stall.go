package relay

import (
	"context"
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

const (
	// firstByteTimeoutFraction is the fraction of the route's latency objective
	// after which an exchange without an answer counts as stalled and a request that may
	// be retried tries to fail over. A target with a free slot answers within a
	// tenth of the objective, so a second target still answers in time.
	firstByteTimeoutFraction = 0.5
	// gapTimeoutFraction is the fraction of the route's gap objective without an
	// event after which a stream counts as stalled.
	gapTimeoutFraction = 0.6
	// minFirstByteTimeout and minGapTimeout are the lower bounds of the two
	// timeouts, so that a short objective does not make every target suspect.
	minFirstByteTimeout = 100 * time.Millisecond
	minGapTimeout       = 250 * time.Millisecond
	// failoverRetryInterval is the time between two attempts of a stalled request
	// to fail over.
	failoverRetryInterval = 150 * time.Millisecond
)

// stallMonitor detects that one exchange with a target makes no progress. It then
// marks the target as suspect, and cancels the exchange if the request may be
// retried and another target has a free slot at once. Without a reserved slot the
// request stays: it would have to queue behind other requests, while its target
// may only be busy.
type stallMonitor struct {
	// ctx is the context of the exchange, cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
	choice placement.Choice

	mu sync.Mutex
	// requirements is what another target has to satisfy.
	requirements placement.Requirements
	// mayFailOver is set if another run of the request is allowed.
	mayFailOver bool
	timer       *time.Timer
	// clearSuspicion removes the mark from a suspect target, nil if the target is
	// not suspect.
	clearSuspicion func()
	times          eventTimes
	// failover is the target with a reserved slot for which the exchange was
	// cancelled.
	failover *placement.Choice
	stopped  bool
	// suspended is set while the target is not read, since the caller does not read.
	suspended bool
}

// monitorStalls starts the monitor of an exchange.
func (c *call) monitorStalls(ctx context.Context, choice placement.Choice) *stallMonitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &stallMonitor{
		ctx: ctx, cancel: cancel, call: c, choice: choice, requirements: c.requirements(),
		mayFailOver: c.Route.Repeatable() && c.outcome.PossibleRuns+1 < c.Route.MaxAttempts && c.mayGoOn(),
	}
	limit := c.gapTimeout()
	if !c.headSent {
		limit = c.firstByteTimeout(c.firstBytes())
		c.outcome.Expected.StallAfter = limit
	}
	m.times.sentAt = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(limit, m.onTimeout)
	return m
}

// gapTimeout returns the time without an event after which a stream counts as
// stalled.
func (c *call) gapTimeout() time.Duration {
	return max(minGapTimeout, time.Duration(gapTimeoutFraction*float64(c.Route.GapObjective)))
}

// onTimeout runs when no data arrived within the timeout.
func (m *stallMonitor) onTimeout() {
	m.mu.Lock()
	if m.stopped || m.suspended || m.failover != nil {
		m.mu.Unlock()
		return
	}
	if m.clearSuspicion == nil {
		m.clearSuspicion = m.call.opts.Placer.MarkStalled(m.choice)
	}
	mayFailOver, requirements := m.mayFailOver, m.requirements
	m.mu.Unlock()
	if mayFailOver {
		m.failOver(requirements)
	}
}

// requireVersion records that the stream has begun at a software version, so that it may go on
// only there. It may go on nowhere if the version is not known.
func (m *stallMonitor) requireVersion(version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != "" {
		m.requirements.Versions = []string{version}
	}
	m.mayFailOver = m.mayFailOver && version != ""
}

// bodyBegins records that the beginning of an answer that no other run can continue is sent to the
// caller or taken over for delivery.
func (m *stallMonitor) bodyBegins() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mayFailOver = false
}

// failOver tries to reserve a slot at another target and cancels the exchange if
// that succeeds. Otherwise it is tried again after failoverRetryInterval.
func (m *stallMonitor) failOver(requirements placement.Requirements) {
	choice, found := m.call.opts.Placer.TryPlace(m.ctx, requirements, m.call.shareLimits())
	m.mu.Lock()
	defer m.mu.Unlock()
	// The stream may have begun meanwhile.
	began := len(m.requirements.Versions) != len(requirements.Versions) || !m.mayFailOver
	switch {
	case !found && m.suspended:
	case !found:
		m.timer.Reset(failoverRetryInterval)
	case m.stopped, m.suspended, m.failover != nil, began:
		go m.call.opts.Placer.Done(choice, placement.Cancelled)
	default:
		m.failover = &choice
		m.cancel()
	}
}

// eventArrived records progress and how long the target took for the event.
func (m *stallMonitor) eventArrived() {
	if kind, took := m.times.received(time.Now()); took > 0 {
		m.call.opts.Placer.Observe(m.choice, kind, took)
	}
	m.progress()
}

// progress records that data arrived: the target is not suspect any more and the
// timeout starts anew.
func (m *stallMonitor) progress() {
	m.call.opts.Placer.DataReceived(m.choice.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clearMark()
	m.timer.Reset(m.call.gapTimeout())
}

// clearMark removes the mark from a suspect target. The caller holds mu.
func (m *stallMonitor) clearMark() {
	if m.clearSuspicion != nil {
		m.clearSuspicion()
		m.clearSuspicion = nil
	}
}

// suspend stops the monitoring while the target is not read. A mark is removed, since a slow caller
// would keep other requests away from the target.
func (m *stallMonitor) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended = true
	m.clearMark()
	m.timer.Stop()
}

// resume continues after suspend. The timeout starts anew.
func (m *stallMonitor) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended = false
	if !m.stopped {
		m.timer.Reset(m.call.gapTimeout())
	}
}

// delivered records that the event was taken over for delivery, or without a buffer that it was
// written to the caller.
func (m *stallMonitor) delivered() { m.times.deliveredAt = time.Now() }

// result returns the result of a failed exchange: a time-out if the target is
// suspect, a cancellation if the request failed over, fallback otherwise.
func (m *stallMonitor) result(fallback placement.Result) placement.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clearSuspicion != nil {
		return placement.TimedOut
	}
	if m.failover != nil {
		return placement.Cancelled
	}
	return fallback
}

// stop ends the monitoring and returns the target for which the exchange was
// cancelled, nil if it was not cancelled for one.
func (m *stallMonitor) stop() *placement.Choice {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	if m.clearSuspicion != nil {
		m.clearSuspicion()
	}
	m.cancel()
	return m.failover
}
