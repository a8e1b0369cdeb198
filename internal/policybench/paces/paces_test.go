package paces

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const pageMaxAge = time.Second

// simulate runs a scenario with some seeds. The arrivals, the slow phases and the targets are the
// same in all scenarios.
func simulate(s Scenario, seeds uint64) (sum Result) {
	s.Load = 0.8
	for seed := range seeds {
		sum.Add(Simulate(s, seed))
	}
	return sum
}

// Targets are at 0.6, 1 and 1.6 of the mean pace, and 15% of them are 2.5 times slower for 600 ms.
// At 0.8 of capacity, late requests must be at most half of those with the ranking before, if
// reports are 50 ms old. With reports or messages lost, or 2 s old, they must be at most 1.05
// times as many: wrong paces must not do more harm than none.
func TestPacesHalveLateRequests(t *testing.T) {
	const few, many = 4, 8
	before := map[uint64]Result{few: simulate(Scenario{}, few), many: simulate(Scenario{}, many)}
	t.Logf("without paces: %+v", before)
	require.Greater(t, before[few].Late, 100, "too few late requests to compare")
	for _, c := range []struct {
		name  string
		s     Scenario
		seeds uint64
		bound float64
	}{
		{"50 ms old", Scenario{ReportAge: 50 * time.Millisecond}, many, 0.5},
		{"2 s old", Scenario{ReportAge: 2 * time.Second}, few, 1.05},
		{"reports of targets lost", Scenario{ReportsLost: true}, few, 1.05},
		{"messages to brokers lost", Scenario{MessagesLost: true}, few, 1.05},
		{"messages of one domain lost", Scenario{CutDomain: true}, few, 1.05},
		{"reports and messages lost", Scenario{ReportsLost: true, MessagesLost: true}, few, 1.05},
	} {
		c.s.PaceMaxAge = pageMaxAge
		got, before := simulate(c.s, c.seeds), before[c.seeds]
		t.Logf("%s: %+v, late %.2f of before, %.1f messages a second and instance", c.name, got,
			float64(got.Late)/float64(before.Late), float64(got.PaceMessages)/float64(c.seeds)/duration.Seconds()/instances)
		require.Equal(t, before.Requests, got.Requests, c.name)
		require.LessOrEqual(t, float64(got.Late), c.bound*float64(before.Late), c.name)
		require.Zero(t, got.Rejected, c.name)
		require.Positive(t, got.BySpeed[2], "%s: the slowest targets are not used", c.name)
	}
}

// Guards against another placement for services whose targets report no pace: with the part on and
// off, each request must go to the same target, in the same order.
func TestTargetsWithoutPaceAreChosenAsBefore(t *testing.T) {
	off := Simulate(Scenario{Load: 0.8, NoPace: true}, 5)
	require.Equal(t, off, Simulate(Scenario{Load: 0.8, NoPace: true, PaceMaxAge: pageMaxAge}, 5))
	require.Equal(t, off, Simulate(Scenario{Load: 0.8}, 5), "the part is off, and targets report paces")
	require.NotEqual(t, off.Order, Simulate(Scenario{Load: 0.8, PaceMaxAge: pageMaxAge}, 5).Order)
}
