package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

func equalShares(names ...protocol.Domain) map[protocol.Domain]protocol.DomainShare {
	shares := map[protocol.Domain]protocol.DomainShare{}
	for _, name := range names {
		shares[name] = protocol.DomainShare{Domain: name, Share: 1}
	}
	return shares
}

func TestDivisionAddsUp(t *testing.T) {
	shares := equalShares("a", "b", "c")
	for _, burst := range []float64{1, 2, 2.5, 5, 17, 400} {
		org := protocol.Organisation{ID: "o", Rate: 7, Burst: burst}
		rate, sum := 0.0, 0.0
		seen := map[SlotKey]bool{}
		for _, quota := range Divide(org, shares) {
			require.GreaterOrEqual(t, quota.Burst, 1.0)
			require.False(t, seen[quota.Key])
			seen[quota.Key] = true
			rate += quota.Rate
			sum += quota.Burst
		}
		require.InDelta(t, burst, sum, 1e-9)
		require.InDelta(t, 7, rate, 1e-9)
	}
}

// Guards against adjacent slots with the same holder. All slots of an
// organisation would then be on one instance, and its loss would cost the
// organisation its whole quota in the failure domain until the slots are
// claimed again.
func TestNeighbouringSlotsHaveDifferentHolders(t *testing.T) {
	holders := Assign("a", []protocol.InstanceID{"i1", "i2", "i3", "i4"}, Assignment{})
	load := map[protocol.InstanceID]int{}
	for slot, id := range holders {
		load[id]++
		if slot > 0 {
			require.NotEqual(t, holders[slot-1], id, "slot %d", slot)
		}
	}
	for id, count := range load {
		require.LessOrEqual(t, count, SlotsPerDomain/4, id)
	}
}

func TestTakenTokensCountAgainstTheBurst(t *testing.T) {
	b := newBucket(10, 5, epoch)
	now := epoch.Add(time.Second)
	require.Equal(t, 5.0, b.issue(now, 5, 0, now.Add(time.Second)))
	b.advance(now.Add(900 * time.Millisecond))
	require.Zero(t, b.tokens, "the full burst is outstanding, so the bucket must not refill")
	b.advance(now.Add(1100 * time.Millisecond))
	require.InDelta(t, 1, b.tokens, 1e-9)
}

// When an instance joins, slots that need not move must stay with their
// holders, because each move loses the slot's refill for a short time.
func TestJoiningInstanceTakesOnlyItsShareOfSlots(t *testing.T) {
	before := Assign("a", []protocol.InstanceID{"i1", "i2", "i3"}, Assignment{})
	after := Assign("a", []protocol.InstanceID{"i1", "i2", "i3", "i4"}, before)
	moved := 0
	for slot := range after {
		if after[slot] != before[slot] {
			moved++
			require.Equal(t, protocol.InstanceID("i4"), after[slot])
		}
	}
	require.Equal(t, SlotsPerDomain/4, moved)
}

// A domain starts with one instance that holds all slots, and others join
// later. If the slots were not spread out, the loss of one instance would cost
// some organisations their whole quota in the domain.
func TestSlotsAreSpreadAsInstancesJoin(t *testing.T) {
	held := Assign("a", []protocol.InstanceID{"i1"}, Assignment{})
	held = Assign("a", []protocol.InstanceID{"i1", "i2"}, held)
	held = Assign("a", []protocol.InstanceID{"i1", "i2", "i3"}, held)
	adjacent := 0
	for slot := 1; slot < len(held); slot++ {
		if held[slot] == held[slot-1] {
			adjacent++
		}
	}
	require.LessOrEqual(t, adjacent, len(held)/4)
}
