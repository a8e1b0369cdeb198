package slots

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bidDesk and lensOrders are the deployments of docs/UNEVEN-LOAD.md. Lengths and speeds are chosen
// so that a stream holds a slot for 0.75 s, an item takes 5 s, and the slots in use are those of
// the page: 580 of 720 and 385 of 480 at a peak, and 200 and 170 for batch items.
func bidDesk() Deployment {
	return Deployment{
		Name: "bid-desk", Domains: 4, Instances: 69, Targets: 90, RequestsPerSecond: 403, JobsPerSecond: 3.86,
		RequestEvents: 20, ItemEvents: 150, StepFactor: 1.58,
	}
}

func lensOrders() Deployment {
	return Deployment{
		Name: "lens-orders", Domains: 4, Instances: 69, Targets: 60, RequestsPerSecond: 269, JobsPerSecond: 3.43,
		RequestEvents: 19, ItemEvents: 153, StepFactor: 1.66,
	}
}

// smoothSwing is a sine of the same mean and a similar amplitude as the square wave, with another
// period.
func smoothSwing(at time.Duration) float64 {
	return 1 + 0.75*math.Sin(2*math.Pi*at.Seconds()/7.3)
}

func noSwing(time.Duration) float64 { return 1 }

// compareForecast simulates the allocator without and with the forecast under the same load.
func compareForecast(d Deployment, scenario Scenario, seeds uint64) (current, forecast Result) {
	scenario.Duration, scenario.MeasureFrom = 60*time.Second, 25*time.Second
	strategy := Strategies()[0]
	for seed := range seeds {
		strategy.Forecast = false
		current.Add(Simulate(d, scenario, strategy, seed))
		strategy.Forecast = true
		forecast.Add(Simulate(d, scenario, strategy, seed))
	}
	return current, forecast
}

// requireNoLater checks that online requests are served as with the current allocator, apart from
// one in a thousand.
func requireNoLater(t *testing.T, current, forecast Result) {
	t.Helper()
	t.Logf("current: late %d rejected %d of %d, jobs on time %.4f, preempted runs per result %.3f", current.Late, current.Rejected,
		current.Requests, current.JobsOnTimeShare(), current.YieldsPerResult())
	t.Logf("forecast: late %d rejected %d of %d, jobs on time %.4f, preempted runs per result %.3f", forecast.Late, forecast.Rejected,
		forecast.Requests, forecast.JobsOnTimeShare(), forecast.YieldsPerResult())
	require.LessOrEqual(t, forecast.Late+forecast.Rejected, current.Late+current.Rejected+current.Requests/1000)
}

// stopsAt and shiftsAt are square waves that end, or come earlier, from second 32.
func stopsAt(at time.Duration) float64 {
	if at > 32*time.Second {
		return 1
	}
	return squareSwing(at)
}

func shiftsAt(at time.Duration) float64 {
	if at > 32*time.Second {
		return squareSwing(at + 2500*time.Millisecond)
	}
	return squareSwing(at)
}

// Guards against items that start at the end of a trough and lose their slots at the peak, and
// against online requests that are later for it. At most 0.3 runs per result may be preempted.
func TestForecastKeepsItemsFromPeaks(t *testing.T) {
	for name, swing := range map[string]func(time.Duration) float64{"square": nil, "smooth": smoothSwing} {
		t.Run(name, func(t *testing.T) {
			current, forecast := compareForecast(bidDesk(), Scenario{Swing: swing}, 1)
			requireNoLater(t, current, forecast)
			require.LessOrEqual(t, forecast.YieldsPerResult(), 0.3)
			require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
		})
	}
	current, forecast := compareForecast(lensOrders(), Scenario{Swing: smoothSwing}, 1)
	requireNoLater(t, current, forecast)
	require.LessOrEqual(t, forecast.YieldsPerResult(), 0.3)
	require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
}

// Guards against the same where a peak leaves slots for 95 of the 170 items that run on average.
func TestForecastKeepsItemsFromPeaksWithFewFreeSlots(t *testing.T) {
	current, forecast := compareForecast(lensOrders(), Scenario{}, 1)
	requireNoLater(t, current, forecast)
	require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
	require.LessOrEqual(t, forecast.YieldsPerResult(), 0.3)
}

// Guards against items that wait without need, or miss their deadlines, while demand does not vary,
// or its variation ends or shifts.
func TestJobsAreOnTimeWithoutAndWithWrongForecast(t *testing.T) {
	for name, swing := range map[string]func(time.Duration) float64{"none": noSwing, "stops": stopsAt, "shifts": shiftsAt} {
		t.Run(name, func(t *testing.T) {
			for _, d := range []Deployment{bidDesk(), lensOrders()} {
				current, forecast := compareForecast(d, Scenario{Swing: swing}, 1)
				requireNoLater(t, current, forecast)
				require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
				require.LessOrEqual(t, forecast.YieldsPerResult(), current.YieldsPerResult()+0.05)
			}
		})
	}
}

// Guards against items that wait for room that never comes, since there is more batch work than
// fits between the peaks: the batch work is such that 0.9 of all slots are used on average.
func TestJobsAreOnTimeAtNineTenthsOfCapacity(t *testing.T) {
	for _, d := range []Deployment{bidDesk(), lensOrders()} {
		const streamTime, itemTime = 0.75, 5.0
		free := 0.9*float64(d.Targets*slotsPerTarget) - d.RequestsPerSecond*streamTime
		d.JobsPerSecond = free / (itemTime * itemsPerJob)
		current, forecast := compareForecast(d, Scenario{}, 1)
		requireNoLater(t, current, forecast)
		require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
	}
}

// Guards against late requests and lost deadlines after brokers died at a peak: their successors
// start without forecast.
func TestSuccessorsOfBrokersServeSwingsOnTime(t *testing.T) {
	current, forecast := compareForecast(bidDesk(), Scenario{NewBrokersAt: 34500 * time.Millisecond}, 1)
	requireNoLater(t, current, forecast)
	require.GreaterOrEqual(t, forecast.JobsOnTimeShare(), 0.99)
	require.Less(t, forecast.YieldsPerResult(), current.YieldsPerResult())
}
