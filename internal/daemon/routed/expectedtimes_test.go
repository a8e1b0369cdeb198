package routed

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/engine"
	"merlintiller/internal/standin/sharedstore"
)

// pacedIntervals are the times between two events of the targets, in turn. Those of the last kind are
// 2.5 times slower than the mean of the others.
var pacedIntervals = []time.Duration{45 * time.Millisecond, 75 * time.Millisecond, 120 * time.Millisecond, 190 * time.Millisecond}

// pacedEvents is the number of events of an answer. With peakPerSecond, requests need a little more
// than all slots.
const pacedEvents = 12

// newPacedFleet starts a fleet with targets of different speed, which report their pace if paced is
// set.
func newPacedFleet(t *testing.T, paced, expectedTimes bool) *testFleet {
	t.Helper()
	fleet := newTestFleet(t, fleetSize{domains: 4, instances: 3})
	for d := range 4 {
		for i, interval := range pacedIntervals {
			opts := engine.Options{Slots: 8, QueueSize: 24, EventInterval: interval}
			if paced {
				opts.Pace = func() int { return int(100 * interval / (75 * time.Millisecond)) }
			}
			fleet.addTarget(fmt.Sprintf("t-%d-%d", d, i), fmt.Sprintf("d%d", d), fmt.Sprintf("10.%d.2.%d", d, i+1), opts)
		}
	}
	for _, inst := range fleet.instances {
		inst.kill()
		inst.settings.Adaptive.ExpectedTimes = expectedTimes
		inst.start()
	}
	fleet.awaitReady()
	return fleet
}

// brokerOf returns the instance that is the broker of a failure domain.
func (fleet *testFleet) brokerOf(domain string) *testInstance {
	at := slices.IndexFunc(fleet.instances, func(inst *testInstance) bool {
		return inst.domain == domain && inst.daemon.brokerClient.IsBroker()
	})
	require.GreaterOrEqual(fleet.t, at, 0, "a broker of %s", domain)
	return fleet.instances[at]
}

// pacedFaults are the faults of the test below. Each begins at a peak; the returned function ends it.
var pacedFaults = map[string]func(fleet *testFleet) (serving []*testInstance, end func()){
	"broker killed": func(fleet *testFleet) ([]*testInstance, func()) {
		killed := fleet.brokerOf("d1")
		killed.kill()
		serving := slices.DeleteFunc(slices.Clone(fleet.instances), func(inst *testInstance) bool { return inst == killed })
		return serving, func() {}
	},
	"domain cut off": func(fleet *testFleet) ([]*testInstance, func()) {
		var own, others []string
		for _, inst := range fleet.instances {
			if inst.domain == "d1" {
				own = append(own, inst.ip)
			} else {
				others = append(others, inst.ip)
			}
		}
		for _, target := range fleet.targets {
			if target.domain == "d1" {
				own = append(own, target.ip)
			} else {
				others = append(others, target.ip)
			}
		}
		fleet.net.Partition(own, others)
		return fleet.instances, func() { fleet.net.HealPartition(own, others) }
	},
	"store silent": func(fleet *testFleet) ([]*testInstance, func()) {
		for _, inst := range fleet.instances {
			inst.storeAccess.Set(sharedstore.Fault{Silent: true})
		}
		return fleet.instances, func() {
			for _, inst := range fleet.instances {
				inst.storeAccess.Set(sharedstore.Fault{})
			}
		}
	},
}

// Guards against expected times that make a fault worse: fewer requests are on time at a peak than
// with the constants.
func TestExpectedTimesBearFaultsAtAPeak(t *testing.T) {
	const faultTime = 7 * time.Second
	for name, begin := range pacedFaults {
		t.Run(name, func(t *testing.T) {
			served := map[bool]float64{}
			for _, on := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					fleet := newPacedFleet(t, true, on)
					callers := newPeakCallers(fleet, 1)
					callers.events = pacedEvents
					sleep(time.Second)
					callers.run(fleet.instances, 3*time.Second)
					from := time.Now()
					serving, end := begin(fleet)
					callers.run(serving, faultTime)
					end()
					callers.run(serving, time.Second)
					callers.calls.Wait()
					first, _, statuses := callers.served(from, from.Add(faultTime+time.Second))
					served[on] = first
					t.Logf("expected times %t: %.4f of the first tries on time, %v", on, first, statuses)
					lines := 0
					for _, inst := range fleet.instances {
						lines += len(regexp.MustCompile(`event=request .* send_within_ms=\d+ stall_after_ms=\d+ expected_first_byte_ms=\d+`).FindAllString(inst.logs.String(), -1))
					}
					require.Equal(t, on, lines > 100, "%d lines with expected times", lines)
				})
			}
			// Two runs with the same decision differ by up to 0.03, since the order in which
			// goroutines run differs.
			require.GreaterOrEqual(t, served[true], served[false]-0.03)
		})
	}
}

// Guards against a part that acts for the earlier deployments, whose targets report no pace: their
// requests must have the times that they had before, with the setting on and off.
func TestServicesWithoutPaceHaveNoExpectedTimes(t *testing.T) {
	served := map[bool]float64{}
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newPacedFleet(t, false, on)
			callers := newPeakCallers(fleet, 2)
			callers.events = pacedEvents
			sleep(time.Second)
			from := time.Now()
			callers.run(fleet.instances, 3*time.Second)
			callers.calls.Wait()
			served[on], _, _ = callers.served(from, time.Now())
			for _, inst := range fleet.instances {
				require.NotContains(t, inst.logs.String(), "send_within_ms")
			}
		})
	}
	// The times of requests depend a little on the order in which goroutines run. That the limits
	// are the same is tested in package relay.
	require.InDelta(t, served[false], served[true], 0.03)
}
