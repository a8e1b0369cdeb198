package broker

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
)

// Guards against a line or a metric for each of hundreds of organisations, and against a line for each
// request.
func TestQueueReportIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer
		b := New("d", 1, nil)
		b.allocator.EnableFairQueue()
		b.queueReport = newQueueReport(log.NewLogfmtLogger(&logs))
		for round := range 30 {
			for n := range 300 {
				w := &Waiter{organisation: fmt.Sprint("o", n), waitsSince: time.Now().Add(-time.Duration(n) * time.Millisecond), waited: true}
				b.queueReport.granted(time.Now(), w)
				w.state = placement.QueueState{Rejected: true, OverShare: n%2 == 0}
				b.queueReport.rejected(time.Now(), w)
			}
			b.reportQueue()
			if round < 29 {
				<-time.After(100 * time.Millisecond)
			}
		}
		require.Equal(t, 3, strings.Count(logs.String(), "event=slots_scarce"), "2.9 s")
		require.Contains(t, logs.String(), "o299:")
		require.NotContains(t, logs.String(), "o200:")
		var metrics bytes.Buffer
		b.writeWaits(&metrics)
		require.Equal(t, reportedOrganisations, strings.Count(metrics.String(), "broker_queue_organisation_wait_seconds"))
		<-time.After(time.Hour)
		b.reportQueue()
		require.Empty(t, b.queueReport.waits, "waits of the past are forgotten")
	})
}

// Guards against long waits that are reported as short ones, since a request that waits enters a queue
// every 100 ms, and against waits that are not reported because they end without a slot.
func TestWholeWaitsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d", 1, nil)
		b.allocator.EnableFairQueue()
		b.queueReport = newQueueReport(log.NewNopLogger())
		began := time.Now()
		<-time.After(20 * time.Millisecond)
		for n := range uint64(5) {
			b.Place(t.Context(), fairRequest(n, time.Since(began), onlineWait, n == 0))
		}
		require.Equal(t, 520*time.Millisecond, b.queueReport.waits["o"])
	})
}

// Guards against an age of inputs in the log that is the time for which a request has waited.
func TestAgeOfEstimateIsReported(t *testing.T) {
	w := &Waiter{waitsSince: start.Add(-time.Second)}
	require.Zero(t, w.estimateAge(start))
	w.estimate(start, &serviceLoad{known: true, freed: 100, waiting: 1})
	require.Equal(t, 30*time.Millisecond, w.estimateAge(start.Add(30*time.Millisecond)))
}
