package online

import (
	"context"
	"sync"
	"time"
)

// keyCheckInterval is the time between two checks of the key of a running call,
// so that the call of a withdrawn key ends within seconds even if no token
// arrives.
const keyCheckInterval = time.Second

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
	cancel      context.CancelFunc
	keyIsActive func() bool
	// probe reports whether the target still responds. It is nil for a stream.
	probe   func() bool
	timeout time.Duration

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	stopped  bool
	// keyWithdrawn reports whether the last check found the key withdrawn, for
	// which the watchdog cancels the attempt.
	keyWithdrawn bool
}

func newWatchdog(timeout time.Duration, keyIsActive, probe func() bool, cancel context.CancelFunc) *watchdog {
	d := &watchdog{cancel: cancel, keyIsActive: keyIsActive, probe: probe, timeout: timeout, deadline: time.Now().Add(timeout)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(min(timeout, keyCheckInterval), d.check)
	return d
}

// check runs on the timer. It cancels the attempt or resets the timer.
func (d *watchdog) check() {
	d.mu.Lock()
	timedOut := time.Until(d.deadline) <= 0
	d.mu.Unlock()
	// The probe may take up to ProbeTimeout, so it runs without the lock.
	if timedOut && d.probe != nil && d.probe() {
		d.extend(time.Now(), d.timeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	remaining := time.Until(d.deadline)
	d.keyWithdrawn = !d.keyIsActive()
	if remaining <= 0 || d.keyWithdrawn {
		d.cancel()
		return
	}
	d.timer.Reset(min(remaining, keyCheckInterval))
}

// extend sets the deadline for the target's next sign of progress to timeout
// after now.
func (d *watchdog) extend(now time.Time, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = now.Add(timeout)
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
