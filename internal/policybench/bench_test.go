package policybench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/policybench/virtual"
)

func shortRates() rateRun {
	return rateRun{deployment: deployments()[0], length: 30 * time.Second, policy: slotPolicy(), overload: 2}
}

func shortServing() servingRun {
	return servingRun{
		deployment: deployments()[0], length: 20 * time.Second, online: true, bursts: true,
		batch: batchPreemptible, overload: -1, headroom: headroom.Defaults(),
	}
}

// Results that differ between runs with the same seed could not show which of two
// policies is better.
func TestRunsAreDeterministicBySeed(t *testing.T) {
	require.Equal(t, shortRates().run(), shortRates().run())
	require.Equal(t, shortServing().run(), shortServing().run())
}

func TestNoTokensAdmittedAboveGlobalBucket(t *testing.T) {
	run := shortRates()
	run.partition, run.kills = true, true
	require.Zero(t, run.run().admittedAbove)
}

// The benchmark must detect a limiter that admits too much. A fleet whose instances
// each apply the full rate admits several times the rate.
func TestBucketCountsTokensAboveRate(t *testing.T) {
	bucket := newTokenBucket(deployments()[0].organisation(0))
	excess := 0.0
	for range 1000 {
		excess += bucket.takeExcess(virtual.Start)
	}
	require.Greater(t, excess, 500.0)
}

// The benchmark must detect that batch items which are not preempted slow down
// online requests.
func TestBenchDetectsBatchDelayingOnline(t *testing.T) {
	run := shortServing()
	preemptible := run.run()
	run.batch = batchNonPreemptible
	nonPreemptible := run.run()
	require.Greater(t, quantile(nonPreemptible.firstToken, 0.99), 3*quantile(preemptible.firstToken, 0.99))
	require.Greater(t, quantile(nonPreemptible.betweenTokens, 0.95), 1.1*quantile(preemptible.betweenTokens, 0.95))
}
