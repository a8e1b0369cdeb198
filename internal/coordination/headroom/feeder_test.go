package headroom

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// All instances of a failure domain are lost, so instances of the other domains
// feed its targets too. The targets of the lost domain are first on the list. If
// they used up the limits of targets per instance, the targets of the other
// domains would have no feeder. They would stay idle, and a job would stop until
// the domain is back.
func TestTargetsOfLostDomainDoNotUseUpFeeders(t *testing.T) {
	targets := []Target{
		{ID: "filing-0", Service: "filing", Domain: "sea"},
		{ID: "reports-0", Service: "reports", Domain: "sea"},
		{ID: "reports-1", Service: "reports", Domain: "pdx"},
		{ID: "reports-2", Service: "reports", Domain: "spk"},
	}
	members := []Member{{Instance: "pdx-0", Domain: "pdx"}, {Instance: "spk-0", Domain: "spk"}}
	feeders := Feeders(targets, members)
	require.Len(t, feeders, len(targets))
	require.Equal(t, protocol.InstanceID("pdx-0"), feeders["reports-1"])
	require.Equal(t, protocol.InstanceID("spk-0"), feeders["reports-2"])
}
