package online

import (
	"context"
	"sync"
	"time"
)

// keyCheck is the time between two looks at the key of a call that runs. A
// withdrawn key stops within seconds also where no token comes.
const keyCheck = time.Second

// watchdog cancels an attempt that shows nothing for too long or whose key is
// withdrawn. A whole answer shows nothing until its last token, so there the
// target is asked for a sign of life before its attempt is given up.
//
// What goes wrong without it: a frozen target keeps its connection open, so
// nothing fails; the caller waits until its deadline although another target
// could answer. And a whole answer of a minute would go on for a minute after
// its key was withdrawn.
type watchdog struct {
	cancel context.CancelFunc
	active func() bool
	// alive asks the target for a sign of life; nil for a stream.
	alive func() bool
	limit time.Duration

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	stopped  bool
	// withdrawn says that the attempt was cancelled for its key.
	withdrawn bool
}

func newWatchdog(limit time.Duration, active, alive func() bool, cancel context.CancelFunc) *watchdog {
	d := &watchdog{cancel: cancel, active: active, alive: alive, limit: limit, deadline: time.Now().Add(limit)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(min(limit, keyCheck), d.look)
	return d
}

// look runs on the timer and sets it again.
func (d *watchdog) look() {
	d.mu.Lock()
	silent := time.Until(d.deadline) <= 0
	d.mu.Unlock()
	// The question may take its time, so it is asked without the lock.
	if silent && d.alive != nil && d.alive() {
		d.feed(time.Now(), d.limit)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	left := time.Until(d.deadline)
	d.withdrawn = !d.active()
	if left <= 0 || d.withdrawn {
		d.cancel()
		return
	}
	d.timer.Reset(min(left, keyCheck))
}

// feed gives the target until limit from now to show its next sign.
func (d *watchdog) feed(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = now.Add(limit)
}

// stop ends the watch and reports whether it had cancelled for the key.
func (d *watchdog) stop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	return d.withdrawn
}
