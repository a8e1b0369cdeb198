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
				w := &Waiter{organisation: fmt.Sprint("o", n), queuedAt: time.Now().Add(-time.Duration(n) * time.Millisecond), waited: true}
				b.queueReport.granted(time.Now(), w)
				w.state = placement.QueueState{Rejected: true, OverShare: n%2 == 0}
				b.queueReport.rejected(w)
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
