package policybench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/policybench/virtual"
)

func shortRates() rateRun {
	return rateRun{user: users()[0], length: 30 * time.Second, policy: slotPolicy(), overload: 2}
}

func shortServing() servingRun {
	return servingRun{
		user: users()[0], length: 20 * time.Second, online: true, bursts: true,
		batch: batchYields, overload: -1, headroom: headroom.Defaults(),
	}
}

// A figure that differs from run to run can't tell a better policy from luck.
func TestRunsAreTheSameBySeed(t *testing.T) {
	require.Equal(t, shortRates().run(), shortRates().run())
	require.Equal(t, shortServing().run(), shortServing().run())
}

func TestNothingIsAdmittedAboveTheExactBucket(t *testing.T) {
	run := shortRates()
	run.cut, run.kills = true, true
	require.Zero(t, run.run().above)
}

// The bench must see a fault of the limiter: a fleet whose instances each hold
// the whole rate lets through several times the rate.
func TestBenchSeesTokensAboveTheRate(t *testing.T) {
	bucket := newExactBucket(users()[0].organisation(0))
	excess := 0.0
	for range 1000 {
		excess += bucket.above(virtual.Start)
	}
	require.Greater(t, excess, 500.0)
}

// Batch that stays in the way is what the bench is there to see.
func TestBenchSeesBatchInTheWayOfOnline(t *testing.T) {
	run := shortServing()
	yields := run.run()
	run.batch = batchStays
	stays := run.run()
	require.Greater(t, quantile(stays.firstToken, 0.99), 3*quantile(yields.firstToken, 0.99))
	require.Greater(t, quantile(stays.between, 0.95), 1.1*quantile(yields.between, 0.95))
}
