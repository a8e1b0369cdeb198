package servicetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lockProbe is a writer that reports whether the lock of an estimator is free while it is written to.
type lockProbe struct {
	estimator *Estimator
	written   int
	blocked   bool
}

func (p *lockProbe) Write(data []byte) (int, error) {
	p.written += len(data)
	if p.estimator.mu.TryLock() {
		p.estimator.mu.Unlock()
	} else {
		p.blocked = true
	}
	return len(data), nil
}

// Guards against a scraper that stops reading and so blocks all requests.
func TestMetricsAreWrittenWithoutTheLock(t *testing.T) {
	e := New(Options{Enabled: true, ReportsPace: func(string) bool { return true }})
	e.AddFirstBytes(Work{Service: "s"}, 70*time.Millisecond)
	probe := &lockProbe{estimator: e}
	e.writeMetrics(probe)
	require.NotZero(t, probe.written)
	require.False(t, probe.blocked)
}
