package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var start = time.Unix(1_000_000, 0)

// idleTarget returns a usable target with 16 slots and no reported load.
func idleTarget() Target {
	return Target{ID: "t", Service: "s", Slots: 16, Usable: true}
}

// newGrownCore returns a core that feeds one idle target whose window has its
// maximum size, and a time at which all pauses of the window are over.
func newGrownCore(t *testing.T) (*Core, time.Time) {
	t.Helper()
	c := NewCore(Defaults())
	now := start
	for range 100 {
		require.Empty(t, c.Observe(now, []Target{idleTarget()}))
		now = now.Add(100 * time.Millisecond)
	}
	return c, now.Add(time.Minute)
}

// placeItems places items one second apart, the last one a second before now.
func placeItems(t *testing.T, c *Core, now time.Time, count int) []SlotID {
	t.Helper()
	var ids []SlotID
	for i := range count {
		id, _, ok := c.Place(now.Add(-time.Duration(count-i)*time.Second), "s")
		require.True(t, ok)
		ids = append(ids, id)
	}
	return ids
}

// A burst of online calls is routed to a target full of batch items. The engine
// would batch all of them and generate every token later, so the newest items are
// revoked at the moment the calls are routed.
func TestOnlineBurstRevokesNewestItems(t *testing.T) {
	c, now := newGrownCore(t)
	ids := placeItems(t, c, now, 15)
	var revoked []SlotID
	for range 4 {
		revoked = append(revoked, c.OnlineStarted(now, "t")...)
	}
	require.Equal(t, []SlotID{ids[14], ids[13], ids[12]}, revoked)
	_, _, ok := c.Place(now, "s")
	require.False(t, ok)
}

// Another instance sends online calls to the target. The feeder learns of them
// only from the target's report, which also includes the feeder's batch items.
func TestReportedPeerLoadRevokesItems(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	later := now.Add(time.Second)
	reported := idleTarget()
	reported.Reported, reported.ReportedAt = 20, now.Add(500*time.Millisecond)
	require.Len(t, c.Observe(later, []Target{reported}), 4)
}

func TestReportOfOwnItemsRevokesNothing(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	reported := idleTarget()
	reported.Reported, reported.ReportedAt = 15, now.Add(500*time.Millisecond)
	require.Empty(t, c.Observe(now.Add(time.Second), []Target{reported}))
}

func TestItemsOfLeavingTargetAreRevoked(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 3)
	require.Len(t, c.Observe(now, nil), 3)
	_, _, ok := c.Place(now, "s")
	require.False(t, ok)
}

// Items with short prompts arrive. With a fixed gap for long prompts, a target
// would start at most twelve items per second of any length, and jobs that run
// overnight would finish late at idle targets. The gap therefore follows the
// measured prefill time.
func TestShortPromptsStartSooner(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 1)
	now = now.Add(Defaults().BatchStartGap)
	_, _, ok := c.Place(now, "s")
	require.True(t, ok)
	now = now.Add(10 * time.Millisecond)
	_, _, ok = c.Place(now, "s")
	require.False(t, ok, "the gap of the settings applies until a prefill time is measured")
	wait, hasSlot := c.NextStart(now, "s")
	require.True(t, hasSlot)
	require.Equal(t, Defaults().BatchStartGap-10*time.Millisecond, wait)
	c.RecordFirstByte("t", 5*time.Millisecond)
	_, _, ok = c.Place(now, "s")
	require.True(t, ok)
}

// Online calls start on another instance, and the target's report shows them only
// a second later. The instance's notice to the feeder revokes items at once.
func TestNoticeOfAnotherInstanceRevokesItems(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	require.Len(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 5}}), 4)
	require.Empty(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 5}}), "a repeated notice")
}

// The other instance dies with its calls. Its last notice must not block batch
// items for ever.
func TestOldNoticesExpire(t *testing.T) {
	c, now := newGrownCore(t)
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 16}})
	now = now.Add(time.Minute)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []Target{idleTarget()})
	}
	placeItems(t, c, now, 10)
}

func TestNoticesAreSentToFeeder(t *testing.T) {
	c := NewCore(Defaults())
	feeders := map[protocol.TargetID]protocol.InstanceID{"t": "feeder", "own": "self"}
	c.OnlineStarted(start, "t")
	c.OnlineStarted(start, "own")
	notices := c.DueNotices(start, feeders, "self")
	require.Equal(t, map[protocol.InstanceID][]TargetCount{"feeder": {{Target: "t", Count: 1}}}, notices)
}
