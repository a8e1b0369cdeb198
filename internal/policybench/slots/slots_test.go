package slots

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Results that differ between runs with the same seed could not show which of two
// strategies is better.
func TestSimulationIsDeterministicBySeed(t *testing.T) {
	d, scenario := Deployments()[0], Scenarios()["lost"]
	for _, strategy := range Strategies() {
		require.Equal(t, Simulate(d, scenario, strategy, 7), Simulate(d, scenario, strategy, 7), strategy.Name)
		require.NotEqual(t, Simulate(d, scenario, strategy, 7), Simulate(d, scenario, strategy, 8), strategy.Name)
	}
}

func simulateRuns(scenario, strategy string, runs uint64) (sum Result) {
	for seed := range runs {
		for _, s := range Strategies() {
			if s.Name == strategy {
				sum.Add(Simulate(Deployments()[0], Scenarios()[scenario], s, seed))
			}
		}
	}
	return sum
}

// The scenario has 1.5 times the usual online requests for four seconds, and later, for
// three seconds, four times the batch jobs. The strategy in use must have fewer late requests and fewer item
// runs than the rejected strategies.
func TestCurrentStrategyServesBurstsBest(t *testing.T) {
	const runs = 4
	current := simulateRuns("bursts", "broker", runs)
	fifo := simulateRuns("bursts", "broker, in order of arrival", runs)
	require.Less(t, 2*current.Late, fifo.Late)
	peerCounts := simulateRuns("bursts", "peer counts every 100 ms", runs)
	require.Less(t, 4*current.Late, peerCounts.Late)
	unreserved := simulateRuns("bursts", "broker, no slots reserved", runs)
	require.Less(t, float64(current.Runs), 0.75*float64(unreserved.Runs))
	require.LessOrEqual(t, current.Late, unreserved.Late+unreserved.Late/20)
	require.GreaterOrEqual(t, current.ItemsOnTimeShare(), unreserved.ItemsOnTimeShare()-0.01)
}

// With load swings only, the slots suffice for the whole load. Compared with an ideal
// broker, at most one more in a thousand requests may be late, and one more in a
// thousand items.
func TestSwingsAreServedAsByIdealBroker(t *testing.T) {
	const runs = 4
	current, best := simulateRuns("swings", "broker", runs), simulateRuns("swings", "ideal broker", runs)
	require.GreaterOrEqual(t, current.OnTimeShare(), best.OnTimeShare()-0.001)
	require.GreaterOrEqual(t, current.ItemsOnTimeShare(), best.ItemsOnTimeShare()-0.001)
}
