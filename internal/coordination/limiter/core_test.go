package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

func domains(names ...protocol.Domain) map[protocol.Domain]protocol.DomainShare {
	shares := map[protocol.Domain]protocol.DomainShare{}
	for _, name := range names {
		shares[name] = protocol.DomainShare{Domain: name, Share: 1}
	}
	return shares
}

func TestDivisionAddsUp(t *testing.T) {
	shares := domains("a", "b", "c")
	for _, burst := range []float64{1, 2, 2.5, 5, 17, 400} {
		org := protocol.Organisation{ID: "o", Rate: 7, Burst: burst}
		rate, sum := 0.0, 0.0
		seen := map[SlotKey]bool{}
		for _, part := range Divide(org, shares) {
			require.GreaterOrEqual(t, part.Burst, 1.0)
			require.False(t, seen[part.Key])
			seen[part.Key] = true
			rate += part.Rate
			sum += part.Burst
		}
		require.InDelta(t, burst, sum, 1e-9)
		require.InDelta(t, 7, rate, 1e-9)
	}
}

// An organisation's slots all sit at one instance, and its death takes the
// whole part of the failure domain away until the slots are claimed anew.
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
	require.Equal(t, 5.0, b.lend(now, 5, 0, now.Add(time.Second)))
	b.advance(now.Add(900 * time.Millisecond))
	require.Zero(t, b.tokens, "the burst is out, so nothing may fill in")
	b.advance(now.Add(1100 * time.Millisecond))
	require.InDelta(t, 1, b.tokens, 1e-9)
}

// An instance joins. Slots that have no reason to move must stay, since each
// move loses the slot's refill for a moment.
func TestNewcomerTakesOnlyItsPart(t *testing.T) {
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

// A domain starts with one instance that takes all slots, and others join. Were
// its slots not spread, its death would take some organisations' whole part.
func TestSlotsAreSpreadAsInstancesJoin(t *testing.T) {
	held := Assign("a", []protocol.InstanceID{"i1"}, Assignment{})
	held = Assign("a", []protocol.InstanceID{"i1", "i2"}, held)
	held = Assign("a", []protocol.InstanceID{"i1", "i2", "i3"}, held)
	beside := 0
	for slot := 1; slot < len(held); slot++ {
		if held[slot] == held[slot-1] {
			beside++
		}
	}
	require.LessOrEqual(t, beside, len(held)/4)
}
