package front

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/descriptors"
	"merlintiller/internal/wait"
)

const (
	// lagInterval is the interval at which the scheduling lag is measured.
	lagInterval = 50 * time.Millisecond
	// limitDecrease is the factor by which an overload lowers the limit on requests that wait for
	// the first byte of their answers, limitIncrease what each measurement without overload adds
	// to it. It is not lower than minLimit.
	limitDecrease = 0.7
	limitIncrease = 1
	minLimit      = 4
	// overloadEnds is the time without overload and without a refused connection after which all
	// connections are accepted again.
	overloadEnds = time.Second
	// minLagSamples is the number of waits for the processor in an interval below which its lag
	// counts as zero.
	minLagSamples = 20
	// connectionsPerMB bounds the open connections of callers by the memory, connectionShare by
	// the file descriptors: connections to targets, the store and other instances need some.
	connectionsPerMB = 10
	connectionShare  = 0.6
)

var (
	refusedByLag   = metrics.NewCounter(`connections_refused_total{reason="lag"}`)
	refusedByCount = metrics.NewCounter(`connections_refused_total{reason="count"}`)
)

// LoadMonitor refuses new connections while this instance is overloaded, before their requests are
// read: a caller whose connection is closed with its request unread may send it to another
// instance. It is a background service.
//
// Without it, an instance that most new connections go to would read more requests than its
// processor can serve, and all of them would be late. While the processor is overloaded, the
// number of requests that wait for the first byte of their answers is limited. The limit falls as
// long as goroutines wait for the processor, and rises otherwise.
type LoadMonitor struct {
	logger log.Logger
	// maxConnections bounds the open connections.
	maxConnections int

	// maxLag is the scheduling lag above which connections are refused, 0 if they never are.
	maxLag  time.Duration
	latency latencyReader

	mu sync.Mutex
	// lag is the latest measurement.
	lag time.Duration
	// overloadedSince is zero without overload. limit is the number of requests that may wait for
	// their first byte since then, refused counts the connections that were refused.
	overloadedSince time.Time
	limit           float64
	refused         int
	// busyAt is when the processor was last overloaded or a connection last refused.
	busyAt time.Time
	// waiting is the number of such requests as of the last connection.
	waiting int
}

// Connections are the open connections of callers.
type Connections struct {
	// Open is their number. Waiting is the number of requests, those that are still to be read
	// included, that wait for the first byte of their answers.
	Open, Waiting int
}

// LoadLimits are the limits above which a LoadMonitor refuses connections.
type LoadLimits struct {
	// MemoryMB is the memory of the process in megabytes, 0 if it is not limited.
	MemoryMB int
	// SchedulingLag is the time for which half of the goroutines wait for the processor; 0 is no
	// limit.
	SchedulingLag time.Duration
}

// NewLoadMonitor returns a monitor that refuses nothing yet.
func NewLoadMonitor(limits LoadLimits, logger log.Logger) *LoadMonitor {
	m := &LoadMonitor{
		logger: logger, maxConnections: maxConnections(limits.MemoryMB, descriptors.Limit()), maxLag: limits.SchedulingLag, latency: newLatencyReader(),
	}
	metrics.GetOrCreateGauge("scheduling_lag_seconds", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.lag.Seconds()
	})
	return m
}

// maxConnections returns the bound on open connections of callers; 0 is no bound.
func maxConnections(memoryMB, descriptors int) int {
	most := int(connectionShare * float64(descriptors))
	if memoryMB > 0 {
		most = min(most, memoryMB*connectionsPerMB)
	}
	return most
}

// MaxConnections returns the bound on open connections of callers; 0 is no bound.
func (m *LoadMonitor) MaxConnections() int { return m.maxConnections }

// String returns the name of the background service.
func (m *LoadMonitor) String() string { return "load-monitor" }

// Serve measures the scheduling lag until ctx ends.
func (m *LoadMonitor) Serve(ctx context.Context) error {
	if m.maxLag == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	return wait.Every(ctx, lagInterval, func() { m.measured(m.latency.median()) })
}

// measured records a measurement, and adjusts the limit to it.
func (m *LoadMonitor) measured(lag time.Duration) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	switch {
	case lag > m.maxLag:
		m.overloaded(now, lag)
	case m.overloadedSince.IsZero():
	case now.Sub(m.busyAt) >= overloadEnds:
		_ = level.Warn(m.logger).Log("event", "overload_ended", "refused", m.refused, "took_ms", now.Sub(m.overloadedSince).Milliseconds())
		m.overloadedSince = time.Time{}
	default:
		m.limit += limitIncrease
	}
}

// overloaded begins an overload, or lowers the limit. The caller holds mu.
func (m *LoadMonitor) overloaded(now time.Time, lag time.Duration) {
	m.busyAt = now
	if m.overloadedSince.IsZero() {
		m.overloadedSince, m.refused, m.limit = now, 0, float64(m.waiting)
		_ = level.Warn(m.logger).Log("event", "overload_began", "lag_ms", lag.Milliseconds(), "waiting", m.waiting)
	}
	m.limit = max(minLimit, m.limit*limitDecrease)
}

// Admit reports whether a new connection is accepted while others are open.
func (m *LoadMonitor) Admit(others Connections) bool {
	if m.maxConnections > 0 && others.Open >= m.maxConnections {
		refusedByCount.Inc()
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = others.Waiting
	if m.overloadedSince.IsZero() || float64(others.Waiting) < m.limit {
		return true
	}
	m.refused++
	m.busyAt = time.Now()
	refusedByLag.Inc()
	return false
}
