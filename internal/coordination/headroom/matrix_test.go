package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// The feeder dies before it revokes its items. Another instance becomes the feeder
// of the target and must count the items that still run there.
func revokeKilled(t *testing.T) {
	targets := []Target{idleTarget()}
	members := []Member{{Instance: "i1"}, {Instance: "i2"}}
	deadFeeder := Feeders(targets, members)["t"]
	members = []Member{{Instance: "i1"}, {Instance: "i2"}}
	for i := range members {
		if members[i].Instance == deadFeeder {
			members = append(members[:i], members[i+1:]...)
			break
		}
	}
	require.NotEqual(t, deadFeeder, Feeders(targets, members)["t"])

	c := NewCore(Defaults())
	now := start
	reported := idleTarget()
	for range 50 {
		now = now.Add(time.Second)
		reported.Reported, reported.ReportedAt = 14, now.Add(-500*time.Millisecond)
		c.Observe(now, []Target{reported})
	}
	require.LessOrEqual(t, c.Places("s"), 2)
}

// A feeder is paused, another instance takes over its target, and the first one
// resumes, so the target has two feeders. The reports show each feeder the items
// of the other one, so the target is overloaded only until the next report.
func revokePaused(t *testing.T) {
	first, now := newGrownCore(t)
	placeItems(t, first, now, 10)
	second, _ := newGrownCore(t)
	placeItems(t, second, now, 10)
	reported := idleTarget()
	reported.Reported, reported.ReportedAt = 20, now.Add(time.Second)
	later := now.Add(2 * time.Second)
	revoked := len(first.Observe(later, []Target{reported})) + len(second.Observe(later, []Target{reported}))
	require.GreaterOrEqual(t, revoked, 4)
}

// The reply to a notice is lost and the notice is sent again. Its calls are
// counted only once.
func revokeRepeated(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	counts := []TargetCount{{Target: "t", Count: 4}}
	require.Len(t, c.ApplyNotice(now, "other", counts), 3)
	require.Empty(t, c.ApplyNotice(now, "other", counts))
}

// An old notice arrives after a newer one, so the count of online calls is too
// low. The next repetition of the notice corrects it.
func revokeLate(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 8}})
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 1}})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []Target{idleTarget()})
		c.Place(now, "s")
	}
	require.NotEmpty(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 8}}))
	require.LessOrEqual(t, c.Places("s"), 8)
}

// An instance sends online calls to the target while a network partition separates
// it from the feeder. Its notices are lost, and items are revoked because of the
// target's report.
func revokePartitioned(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	reported := idleTarget()
	reported.Reported, reported.ReportedAt = 20, now.Add(500*time.Millisecond)
	require.Len(t, c.Observe(now.Add(time.Second), []Target{reported}), 4)
}

// Operators change the slots of a service twice while items run. The last value
// applies.
func revokeOperators(t *testing.T) {
	c, now := newGrownCore(t)
	placeItems(t, c, now, 15)
	changed := idleTarget()
	changed.Slots = 12
	require.Len(t, c.Observe(now, []Target{changed}), 3)
	changed.Slots = 8
	require.Len(t, c.Observe(now, []Target{changed}), 4)
}

// A slot is released twice, and no other slot is freed. A notice arrives twice, and
// its calls are counted only once.
func revokeDuplicate(t *testing.T) {
	c, now := newGrownCore(t)
	ids := placeItems(t, c, now, 2)
	c.Release(now, ids[0])
	c.Release(now, ids[0])
	require.Len(t, c.windows[protocol.TargetID("t")].items, 1)
	revokeRepeated(t)
}

func TestMatrixRevoke(t *testing.T) {
	const noLog = "batch items are placed and revoked without the log"
	cells := []struct {
		fault, reason string
		run           func(*testing.T)
	}{
		{"kill-before", "", revokeKilled},
		{"kill-after", "", revokeKilled},
		{"pause-past-lease", "", revokePaused},
		{"log-down", noLog, nil},
		{"answer-lost", "", revokeRepeated},
		{"duplicate", "", revokeDuplicate},
		{"late", "", revokeLate},
		{"cut-from-log", noLog, nil},
		{"cut-from-domain", "", revokePartitioned},
		{"operators-racing", "", revokeOperators},
		{"crossed", "slots are assigned and revoked inside the instance; notices carry the ID of their target", nil},
		{"target-dead", "the items of a dead target fail by themselves, which the cell dispatch/target-dead covers", nil},
	}
	for _, c := range cells {
		t.Run("revoke/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=revoke fault=%s result=not-applicable reason=%q", c.fault, c.reason)
				return
			}
			c.run(t)
			t.Logf("matrix step=revoke fault=%s result=held reason=%q", c.fault, c.reason)
		})
	}
}
