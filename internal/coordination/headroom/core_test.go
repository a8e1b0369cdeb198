package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

func target() Target {
	return Target{ID: "t", Service: "s", Slots: 16, Usable: true}
}

// grown is a core whose window for one idle target is as wide as it gets.
func grown(t *testing.T) (*Core, time.Time) {
	t.Helper()
	c := NewCore(Defaults())
	now := epoch
	for range 100 {
		require.Empty(t, c.Observe(now, []Target{target()}))
		now = now.Add(100 * time.Millisecond)
	}
	return c, now.Add(time.Minute)
}

func place(t *testing.T, c *Core, now time.Time, count int) []SlotID {
	t.Helper()
	var ids []SlotID
	for i := range count {
		// The items are old: placed one after another.
		id, _, ok := c.Place(now.Add(-time.Duration(count-i)*time.Second), "s")
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
	var revoked []SlotID
	for range 4 {
		revoked = append(revoked, c.OnlineStarted(now, "t")...)
	}
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
	reported := target()
	reported.Reported, reported.ReportedAt = 20, now.Add(500*time.Millisecond)
	require.Len(t, c.Observe(later, []Target{reported}), 4)
}

func TestReportOfOwnItemsTakesNothingBack(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	reported := target()
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

// Items with short prompts arrive. With the gap meant for long ones, a target
// would start twelve a second whatever their length, and a night's reports
// would be late at idle targets. The gap follows what the items showed.
func TestShortPromptsStartSooner(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 1)
	now = now.Add(Defaults().StartGap)
	_, _, ok := c.Place(now, "s")
	require.True(t, ok)
	now = now.Add(10 * time.Millisecond)
	_, _, ok = c.Place(now, "s")
	require.False(t, ok, "the gap of the settings stands until an item has shown more")
	wait, hasRoom := c.NextStart(now, "s")
	require.True(t, hasRoom)
	require.Equal(t, Defaults().StartGap-10*time.Millisecond, wait)
	c.FirstByte("t", 5*time.Millisecond)
	_, _, ok = c.Place(now, "s")
	require.True(t, ok)
}

// Online calls start at another instance, and the target's report shows them
// only a second later. Its notice to the feeder makes room at once.
func TestNoticeOfAnotherInstanceTakesSlotsBack(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	require.Len(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 5}}), 4)
	require.Empty(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 5}}), "a repeated notice")
}

// The other instance dies with its calls. Its count must not keep batch out
// for ever.
func TestOldNoticesAreForgotten(t *testing.T) {
	c, now := grown(t)
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 16}})
	now = now.Add(time.Minute)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []Target{target()})
	}
	place(t, c, now, 10)
}

func TestNoticesGoToTheFeeder(t *testing.T) {
	c := NewCore(Defaults())
	feeders := map[protocol.TargetID]protocol.InstanceID{"t": "feeder", "own": "self"}
	c.OnlineStarted(epoch, "t")
	c.OnlineStarted(epoch, "own")
	notices := c.DueNotices(epoch, feeders, "self")
	require.Equal(t, map[protocol.InstanceID][]TargetCount{"feeder": {{Target: "t", Count: 1}}}, notices)
}
