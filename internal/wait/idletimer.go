package wait

import (
	"sync"
	"time"
)

const (
	// lateTimer is by how much a timer is late if this process did not run, and readGrace the time that it then has to
	// read what has arrived meanwhile.
	lateTimer = 300 * time.Millisecond
	readGrace = 100 * time.Millisecond
)

// IdleTimer calls a function once it was not reset for some time. A process that was paused has time to read what has
// arrived meanwhile first: its timers run before that, and its own pause would count as silence of the other side.
type IdleTimer struct {
	onIdle func()

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
}

// NewIdleTimer returns a timer that runs. Stop must be called to release it.
func NewIdleTimer(d time.Duration, onIdle func()) *IdleTimer {
	t := &IdleTimer{onIdle: onIdle, due: time.Now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.expire)
	return t
}

// Reset makes the timer start again.
func (t *IdleTimer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(d)
	t.timer.Reset(d)
}

// Stop stops the timer.
func (t *IdleTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// expire runs on the timer.
func (t *IdleTimer) expire() {
	if t.isIdle(time.Now()) {
		t.onIdle()
	}
}

// isIdle reports whether the timer has expired. If this process did not run, it starts again for readGrace.
func (t *IdleTimer) isIdle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := now.Sub(t.due)
	if late < lateTimer {
		return late >= 0
	}
	t.due = now.Add(readGrace)
	t.timer.Reset(readGrace)
	return false
}
