package broker

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// lockProbe is a writer that reports whether a lock is free while it is written to.
type lockProbe struct {
	tryLock func() bool
	unlock  func()
	written int
	blocked bool
}

func (p *lockProbe) Write(data []byte) (int, error) {
	p.written += len(data)
	if p.tryLock() {
		p.unlock()
	} else {
		p.blocked = true
	}
	return len(data), nil
}

// Guards against a scraper that stops reading and so blocks all placements.
func TestWaitMetricsAreWrittenWithoutTheLock(t *testing.T) {
	b := New("d", 1, nil)
	b.allocator.EnableFairQueue()
	b.queueReport = newQueueReport(log.NewNopLogger())
	b.queueReport.waits["one"] = time.Second
	probe := &lockProbe{tryLock: b.mu.TryLock, unlock: b.mu.Unlock}
	b.writeWaits(probe)
	require.NotZero(t, probe.written)
	require.False(t, probe.blocked)
}
