package broker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
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
