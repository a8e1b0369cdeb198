package online

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// keyCheckInterval is the time between two checks of the key of a running call,
// so that the call of a withdrawn key ends within seconds even if no token
// arrives.
const keyCheckInterval = time.Second

// stallChecks is the number of checks within a timeout. A stall of this process is seen by
// the check that it delays.
const stallChecks = 16

var errKeyWithdrawn = errors.New("the key was withdrawn")

// silenceError is the cause of an attempt that was cancelled because its target was silent.
type silenceError struct {
	timeout time.Duration
	stalled time.Duration
}

// Error implements error.
func (e *silenceError) Error() string {
	return fmt.Sprintf("the target was silent for %s, not counting %s for which this process was stalled", e.timeout, e.stalled)
}

// watchdog cancels an attempt that makes no progress for too long or whose key
// has been withdrawn. A call without streaming shows no progress until its last
// token, so in that case the watchdog probes the target before it cancels the
// attempt.
//
// Without it, a target that hangs would keep its connection open without an
// error, and the caller would wait until its deadline although another target
// could respond. A call without streaming that takes a minute would run for a
// minute after its key was withdrawn.
type watchdog struct {
	cancel      context.CancelCauseFunc
	keyIsActive func() bool
	// probe reports whether the target still responds. It is nil for a stream.
	probe   func() bool
	timeout time.Duration
	now     func() time.Time

	mu    sync.Mutex
	timer *time.Timer
	// interval is the time between two checks, and dueAt the time of the next one.
	interval time.Duration
	dueAt    time.Time
	// deadline is the time of the next sign of progress, at most allowed after the last
	// one. stalled is how long this process did not run since then: checks are late by it.
	deadline time.Time
	allowed  time.Duration
	stalled  time.Duration
	stopped  bool
	// keyWithdrawn reports whether the last check found the key withdrawn, for
	// which the watchdog cancels the attempt.
	keyWithdrawn bool
}

func newWatchdog(timeout time.Duration, keyIsActive, probe func() bool, cancel context.CancelCauseFunc) *watchdog {
	d := &watchdog{cancel: cancel, keyIsActive: keyIsActive, probe: probe, timeout: timeout, now: time.Now}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extendLocked(timeout)
	d.dueAt = d.now().Add(d.interval)
	d.timer = time.AfterFunc(d.interval, d.check)
	return d
}

// check runs on the timer. It cancels the attempt or resets the timer.
func (d *watchdog) check() {
	d.mu.Lock()
	d.recordStall()
	timedOut := d.remaining() <= 0
	d.mu.Unlock()
	// The probe may take up to ProbeTimeout, so it runs without the lock.
	if timedOut && d.probe != nil && d.probe() {
		d.extend(d.timeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	d.keyWithdrawn = !d.keyIsActive()
	switch {
	case d.keyWithdrawn:
		d.cancel(errKeyWithdrawn)
	case d.remaining() <= 0:
		d.cancel(&silenceError{timeout: d.allowed, stalled: d.stalled})
	default:
		wait := min(d.remaining(), d.interval)
		d.dueAt = d.now().Add(wait)
		d.timer.Reset(wait)
	}
}

// recordStall adds the time for which this process did not run. The caller holds mu.
func (d *watchdog) recordStall() {
	if late := d.now().Sub(d.dueAt); late > 0 {
		d.stalled += late
	}
}

// remaining returns the time that the target has left, not counting the time for which
// this process did not run. The caller holds mu.
func (d *watchdog) remaining() time.Duration {
	return d.deadline.Add(d.stalled).Sub(d.now())
}

// extend gives the target a timeout from now on for its next sign of progress.
func (d *watchdog) extend(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extendLocked(timeout)
}

func (d *watchdog) extendLocked(timeout time.Duration) {
	d.allowed = timeout
	d.interval = min(timeout/stallChecks, keyCheckInterval)
	d.deadline = d.now().Add(timeout)
	d.stalled = 0
}

// stop stops the watchdog and reports whether it cancelled the attempt because
// the key was withdrawn.
func (d *watchdog) stop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	return d.keyWithdrawn
}
