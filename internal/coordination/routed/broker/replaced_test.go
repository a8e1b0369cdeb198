package broker

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/mesh"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// Guards against a broker that grants a replaced target again after it has taken over from the
// one that was told: the full reports of instances repeat what they have met.
func TestNextBrokerLearnsReplacedTargetsFromFullReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBroker(8)
		b.ApplyReport(&HoldReport{Instance: "n1", Whole: true, Replaced: []placement.Incarnation{{ID: "t", Address: "10.0.0.9:1"}}})
		granted := b.Place(t.Context(), newRequest(1, time.Second, 0))
		require.True(t, granted.Granted, "the report is about an earlier process of the target")
		b.ApplyReport(&HoldReport{Instance: "n1", Whole: true, Replaced: []placement.Incarnation{{ID: "t", Address: "10.0.0.1:1"}}})
		require.False(t, b.Place(t.Context(), newRequest(2, time.Second, 0)).Granted)
	})
}

// Guards against a report and a log line for each request that was in flight to a replaced target.
func TestReplacedTargetIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer
		list := []roster.Target{{ID: "t", Service: "s", Domain: "d", Address: "10.0.0.1:1", Slots: 8}}
		client := NewClient(ClientOptions{
			Self: mesh.Instance{Name: "n", Domain: "d", Address: "self"}, Peers: &fakePeers{}, Broker: newTestBroker(8),
			Local: placement.NewPlacer("d", func(string) bool { return true }, 1), Connected: func(string) bool { return true },
			Logger: log.NewLogfmtLogger(&logs),
		})
		client.SetTargets(1, list)
		var choices []placement.Choice
		for range 3 {
			choice, ok := client.Place(t.Context(), placement.Requirements{Service: "s"}, placement.WaitLimits{Deadline: time.Now().Add(time.Second)})
			require.True(t, ok)
			choices = append(choices, choice)
		}
		for _, choice := range choices {
			client.Done(choice, placement.Replaced)
		}
		require.Equal(t, 1, strings.Count(logs.String(), "event=target_replaced"), logs.String())
	})
}
