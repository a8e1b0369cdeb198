package headroom

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// The feeder dies before it takes its items back. Another instance feeds the
// target and must not place on top of what still runs there.
func revokeKilled(t *testing.T) {
	targets := []Target{target()}
	members := []Member{{Instance: "i1"}, {Instance: "i2"}}
	dead := Feeders(targets, members)["t"]
	members = []Member{{Instance: "i1"}, {Instance: "i2"}}
	for i := range members {
		if members[i].Instance == dead {
			members = append(members[:i], members[i+1:]...)
			break
		}
	}
	require.NotEqual(t, dead, Feeders(targets, members)["t"])

	c := NewCore(Defaults())
	now := epoch
	running := target()
	for range 50 {
		now = now.Add(time.Second)
		running.Reported, running.ReportedAt = 14, now.Add(-500*time.Millisecond)
		c.Observe(now, []Target{running})
	}
	require.LessOrEqual(t, c.Places("s"), 2)
}

// A feeder is paused while another takes over, and wakes: both feed the target.
// The reports show each the other's items, so the target is not overfilled for
// longer than a report takes.
func revokePaused(t *testing.T) {
	first, now := grown(t)
	place(t, first, now, 10)
	second, _ := grown(t)
	place(t, second, now, 10)
	reported := target()
	reported.Reported, reported.ReportedAt = 20, now.Add(time.Second)
	later := now.Add(2 * time.Second)
	revoked := len(first.Observe(later, []Target{reported})) + len(second.Observe(later, []Target{reported}))
	require.GreaterOrEqual(t, revoked, 4)
}

// The answer to a notice is lost and the notice is sent again. The calls count
// once.
func revokeRepeated(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	counts := []TargetCount{{Target: "t", Count: 4}}
	require.Len(t, c.ApplyNotice(now, "other", counts), 3)
	require.Empty(t, c.ApplyNotice(now, "other", counts))
}

// An old notice arrives after a newer one and hides online calls. The next
// repeat of the count puts it right.
func revokeLate(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 8}})
	c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 1}})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(now, []Target{target()})
		c.Place(now, "s")
	}
	require.NotEmpty(t, c.ApplyNotice(now, "other", []TargetCount{{Target: "t", Count: 8}}))
	require.LessOrEqual(t, c.Places("s"), 8)
}

// An instance of a domain that is cut off from the feeder sends online calls to
// the target. Its notices are lost, and the report makes room.
func revokeCut(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	reported := target()
	reported.Reported, reported.ReportedAt = 20, now.Add(500*time.Millisecond)
	require.Len(t, c.Observe(now.Add(time.Second), []Target{reported}), 4)
}

// Operators change the slots of a service twice while items run. The last value
// is the one in force.
func revokeOperators(t *testing.T) {
	c, now := grown(t)
	place(t, c, now, 15)
	fewer := target()
	fewer.Slots = 12
	require.Len(t, c.Observe(now, []Target{fewer}), 3)
	fewer.Slots = 8
	require.Len(t, c.Observe(now, []Target{fewer}), 4)
}

// A slot is given back twice, or after it was revoked. No other slot goes.
func revokeTwice(t *testing.T) {
	c, now := grown(t)
	ids := place(t, c, now, 2)
	c.Release(now, ids[0])
	c.Release(now, ids[0])
	require.Len(t, c.windows[protocol.TargetID("t")].slots, 1)
	revokeRepeated(t)
}

func TestMatrixRevoke(t *testing.T) {
	const noLog = "placing and revoking use no log"
	cells := []struct {
		fault, reason string
		run           func(*testing.T)
	}{
		{"kill-before", "", revokeKilled},
		{"kill-after", "", revokeKilled},
		{"pause-past-lease", "", revokePaused},
		{"log-down", noLog, nil},
		{"answer-lost", "", revokeRepeated},
		{"duplicate", "", revokeTwice},
		{"late", "", revokeLate},
		{"cut-from-log", noLog, nil},
		{"cut-from-domain", "", revokeCut},
		{"operators-racing", "", revokeOperators},
		{"crossed", "places are given and taken inside the instance; notices carry their target's id", nil},
		{"target-dead", "a dead target's items end by themselves, which the cell dispatch/target-dead strikes", nil},
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
