package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_000_000, 0)

func target(online int) Target {
	return Target{ID: "t", Service: "s", Slots: 16, Usable: true, Online: online}
}

// grown is a core whose window for one idle target is as wide as it gets.
func grown(t *testing.T) (*Core, time.Time) {
	t.Helper()
	c := NewCore(Defaults())
	now := epoch
	for range 100 {
		require.Empty(t, c.Observe(now, []Target{target(0)}))
		now = now.Add(100 * time.Millisecond)
	}
	return c, now
}

func place(t *testing.T, c *Core, now time.Time, count int) []SlotID {
	t.Helper()
	var ids []SlotID
	for range count {
		id, _, ok := c.Place(now, "s")
		require.True(t, ok)
		ids = append(ids, id)
	}
	return ids
}

// A burst of online calls meets a target full of batch items. The engine would
// batch them all and every token would come later, so the newest items go at
// the moment the calls are routed.
func TestOnlineBurstTakesNewestSlotsBackAtOnce(t *testing.T) {
	c, now := grown(t)
	ids := place(t, c, now, 15)
	revoked := c.OnlineStarted(now, "t", 4)
	require.Equal(t, []SlotID{ids[14], ids[13], ids[12]}, revoked)
	_, _, ok := c.Place(now, "s")
	require.False(t, ok)
}

// Another instance sends online calls to the target. This one learns of them
// from the target's report only, which also counts its own batch items.
func TestReportedLoadOfOthersTakesSlotsBack(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	later := now.Add(time.Second)
	reported := target(0)
	reported.Reported, reported.ReportedAt = 20, now.Add(500*time.Millisecond)
	require.Len(t, c.Observe(later, []Target{reported}), 4)
}

func TestReportOfOwnItemsTakesNothingBack(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	reported := target(0)
	reported.Reported, reported.ReportedAt = 15, now.Add(500*time.Millisecond)
	require.Empty(t, c.Observe(now.Add(time.Second), []Target{reported}))
}

func TestTargetThatLeavesLosesItsSlots(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 3)
	require.Len(t, c.Observe(now, nil), 3)
	_, _, ok := c.Place(now, "s")
	require.False(t, ok)
}
