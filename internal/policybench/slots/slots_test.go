package slots

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A figure that differs from run to run can't tell a better way from luck.
func TestDaysAreTheSameBySeed(t *testing.T) {
	d, trouble := Deployments()[0], Days()["lost"]
	for _, way := range Ways() {
		require.Equal(t, Play(d, trouble, way, 7), Play(d, trouble, way, 7), way.Name)
		require.NotEqual(t, Play(d, trouble, way, 7), Play(d, trouble, way, 8), way.Name)
	}
}

func play(day, way string, days uint64) (sum Result) {
	for seed := range days {
		for _, w := range Ways() {
			if w.Name == way {
				sum.Add(Play(Deployments()[0], Days()[day], w, seed))
			}
		}
	}
	return sum
}

// For four seconds requests come one and a half times as often as usual, and then
// several times the batch jobs. Of the ways to divide slots the one in use must make
// fewer requests late than those that were dropped, and run items less often.
func TestTheWayInUseServesBurstsBest(t *testing.T) {
	const days = 4
	used := play("bursts", "broker", days)
	inOrder := play("bursts", "broker, in order of arrival", days)
	require.Less(t, 2*used.Late, inOrder.Late)
	counts := play("bursts", "counts told every 100 ms", days)
	require.Less(t, 4*used.Late, counts.Late)
	greedy := play("bursts", "broker, no slots spared", days)
	require.Less(t, float64(used.Runs), 0.75*float64(greedy.Runs))
	require.LessOrEqual(t, used.Late, greedy.Late+greedy.Late/20)
	require.GreaterOrEqual(t, used.DoneShare(), greedy.DoneShare()-0.01)
}

// On a day of swings alone all of it fits: nothing may be late that a broker which
// sees everything at once would serve in time, but for one request in a thousand.
func TestSwingsAreServedAsByOneThatSeesAll(t *testing.T) {
	const days = 4
	used, best := play("swings", "broker", days), play("swings", "one that sees all", days)
	require.GreaterOrEqual(t, used.OnTimeShare(), best.OnTimeShare()-0.001)
	require.GreaterOrEqual(t, used.DoneShare(), best.DoneShare()-0.001)
}
