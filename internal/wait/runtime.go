package wait

import (
	"context"
	"sync"
	"time"
)

// runTimeChecks is the number of checks within a limit. A stall of this process is seen by
// the check that it delays.
const runTimeChecks = 8

// RunTimeLimit ends a context once this process has run for a time.
//
// A process that is paused, or waits for a processor, does not read the answers that arrive
// meanwhile. When it goes on, its timers run before the answers are read, so a limit by the
// clock takes its own stall for silence of the other side.
type RunTimeLimit struct {
	cancel   context.CancelFunc
	interval time.Duration
	now      func() time.Time

	mu    sync.Mutex
	timer *time.Timer
	// remaining is the time left at the last check, at checkedAt. stalled is the time
	// that was not counted.
	remaining, stalled time.Duration
	checkedAt          time.Time
}

// WithRunTimeLimit returns a context that is done once this process has run for a time.
// Stop must be called to release its timer.
func WithRunTimeLimit(ctx context.Context, limit time.Duration) (context.Context, *RunTimeLimit) {
	ctx, cancel := context.WithCancel(ctx)
	l := newRunTimeLimit(limit, cancel, time.Now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(min(l.interval, l.remaining), l.check)
	return ctx, l
}

func newRunTimeLimit(limit time.Duration, cancel context.CancelFunc, now func() time.Time) *RunTimeLimit {
	return &RunTimeLimit{
		cancel: cancel, now: now, interval: max(limit/runTimeChecks, time.Nanosecond),
		remaining: limit, checkedAt: now(),
	}
}

// check runs on the timer.
func (l *RunTimeLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count()
	if l.remaining <= 0 {
		l.cancel()
		return
	}
	l.timer.Reset(min(l.interval, l.remaining))
}

// count takes the time since the last check off the remaining time, at most one interval:
// the rest is a stall. The caller holds mu.
func (l *RunTimeLimit) count() {
	now := l.now()
	elapsed := max(0, now.Sub(l.checkedAt))
	counted := min(elapsed, l.interval)
	l.checkedAt = now
	l.remaining -= counted
	l.stalled += elapsed - counted
}

// Stop ends the context. It returns the time that is left and the time for which the process
// did not run.
func (l *RunTimeLimit) Stop() (remaining, stalled time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count()
	if l.timer != nil {
		l.timer.Stop()
	}
	l.cancel()
	return max(0, l.remaining), l.stalled
}
