package headroom

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// All instances of a failure domain are lost, so those of the others feed its
// targets too. If the targets of the lost domain stand first on the list and
// use up the even loads, the other targets have no feeder: they stay idle, and
// a job stops for as long as the domain is away.
func TestTargetsOfALostDomainLeaveTheOthersTheirFeeders(t *testing.T) {
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
