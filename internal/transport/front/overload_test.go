package front

import (
	"bytes"
	"runtime/metrics"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against connections that are accepted while the processor is overloaded, or refused without
// overload or for longer than it lasts.
func TestConnectionsAreRefusedWhileProcessorIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5 * time.Millisecond
		var logs bytes.Buffer
		m := &LoadMonitor{logger: log.NewLogfmtLogger(&logs), maxLag: limit}
		waiting := func(count int) Connections { return Connections{Open: 1000, Waiting: count} }
		m.measured(limit)
		require.True(t, m.Admit(waiting(100)))
		m.measured(limit + time.Millisecond)
		require.False(t, m.Admit(waiting(70)))
		require.True(t, m.Admit(waiting(69)))
		m.measured(limit)
		require.True(t, m.Admit(waiting(70)), "rises without overload")
		for range 50 {
			m.measured(3 * limit)
		}
		require.False(t, m.Admit(waiting(minLimit)))
		require.True(t, m.Admit(waiting(minLimit-1)), "not lower than the minimum")
		<-time.After(overloadEnds)
		m.measured(limit)
		require.True(t, m.Admit(waiting(1000)))
		require.Contains(t, logs.String(), "event=overload_began lag_ms=6 waiting=100")
		require.Contains(t, logs.String(), "event=overload_ended refused=2")
	})
}

// Guards against an instance that has no descriptors or memory left for its requests, since callers
// hold too many connections.
func TestConnectionsAreBounded(t *testing.T) {
	require.Equal(t, 600, maxConnections(0, 1000))
	require.Equal(t, 500, maxConnections(50, 1000))
	require.Equal(t, 600, maxConnections(5000, 1000))
	m := &LoadMonitor{logger: log.NewNopLogger(), maxConnections: 3}
	require.True(t, m.Admit(Connections{Open: 2}))
	require.False(t, m.Admit(Connections{Open: 3}))
}

// Guards against a lag that few long waits make, or that old waits are part of.
func TestLagIsMedianOfLatestWaits(t *testing.T) {
	histogram := &metrics.Float64Histogram{Buckets: []float64{0, 0.001, 0.01, 0.1}, Counts: []uint64{1000, 0, 0}}
	earlier := []uint64{1000, 0, 0}
	require.Zero(t, medianOf(histogram, earlier))
	histogram.Counts = []uint64{1000, 0, minLagSamples - 1}
	require.Zero(t, medianOf(histogram, earlier))
	histogram.Counts = []uint64{1030, 10, 30}
	require.Equal(t, time.Millisecond, medianOf(histogram, earlier))
	histogram.Counts = []uint64{1010, 0, 30}
	require.Equal(t, 10*time.Millisecond, medianOf(histogram, earlier))
}

// Guards against a histogram of the runtime that has another name or form.
func TestRuntimeTellsSchedulingLatencies(t *testing.T) {
	r := newLatencyReader()
	r.median()
	require.NotEmpty(t, r.previous)
}
