package orders

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// faultCase is one fault at the step "order". run returns the violations that the
// checks found.
type faultCase struct {
	fault string
	// description says how the failure arises and what its effect would be.
	description string
	run         func(w *simulation) error
}

const (
	// takeoverSeconds is long enough for a session to expire, a new holder to
	// wait and all targets to change one after the other.
	takeoverSeconds = 90
	// rolloutSeconds is long enough for a change at all targets without a
	// takeover.
	rolloutSeconds = 40
)

func faultCases() []faultCase {
	return []faultCase{
		{"kill-before", "The holder terminates just before its first order of a new version. Without a takeover the targets would keep the old version.", killBefore},
		{"kill-after", "The holder terminates after one target accepted the new version. Without a takeover the fleet would keep running two versions.", killAfter},
		{"pause-past-lease", "The holder is paused while sending an order. The order arrives long after another holder has ordered a newer version, and would set the target back to the old one.", pausePastLease},
		{"log-down", "The log is down while the holder sends orders. The holder cannot know whether it still holds the lease, so it must stop and continue later.", logDown},
		{"answer-lost", "Targets accept orders but the responses are lost. The holder must neither give up nor repeat its orders without end.", responsesLost},
		{"duplicate", "The network delivers each order twice.", duplicates},
		{"late", "An order is delayed in the network and arrives after the configuration has changed again.", lateOrder},
		{"crossed", "The responses of the targets are swapped, so that one seems to run what another runs.", swappedReads},
		{"cut-from-log", "The holder is isolated from the log, but not from its targets. Another instance takes over, and two holders would send conflicting orders.", isolatedFromLog},
		{"cut-from-domain", "the lease belongs to one domain and its holder calls no other domain, so that a network partition between domains has no effect", nil},
		{"target-dead", "A target does not respond. The other targets must still get the new version.", targetDead},
		{"operators-racing", "Operators publish several versions in quick succession while targets load. All targets must end with the last one.", operatorsRacing},
	}
}

func (sim *simulation) publish(version string) { sim.desired.Version = version }

func killBefore(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.publish("v2")
	sim.instances[0].running = false
	sim.run(takeoverSeconds)
	return sim.checkConverged()
}

func killAfter(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.publish("v2")
	sim.run(1)
	sim.instances[0].running = false
	sim.run(takeoverSeconds)
	return sim.checkConverged()
}

func pausePastLease(sim *simulation) error {
	sim.run(rolloutSeconds)
	paused := sim.instances[0]
	sim.orderDelivery = func(n *instance, _ protocol.TargetID) delivery {
		if n == paused {
			return delayed
		}
		return delivered
	}
	sim.publish("v2")
	sim.run(2)
	paused.running = false
	sim.publish("v3")
	sim.run(takeoverSeconds)
	if err := sim.checkConverged(); err != nil {
		return err
	}
	paused.running = true
	if len(sim.delayedOrders) == 0 {
		return fmt.Errorf("no order was delayed, so the case tests nothing")
	}
	sim.deliverDelayed()
	sim.run(rolloutSeconds)
	return sim.checkConverged()
}

func logDown(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.logDown = true
	sim.run(12)
	before := sim.ordersSent
	sim.publish("v2")
	sim.run(30)
	if sim.ordersSent != before {
		return fmt.Errorf("%d orders were sent under a lapsed session", sim.ordersSent-before)
	}
	sim.logDown = false
	sim.run(takeoverSeconds)
	return sim.checkConverged()
}

func responsesLost(sim *simulation) error {
	sim.orderDelivery = func(*instance, protocol.TargetID) delivery { return responseLost }
	sim.publish("v2")
	sim.run(takeoverSeconds)
	before := sim.ordersSent
	sim.run(rolloutSeconds)
	if sim.ordersSent != before {
		return fmt.Errorf("targets that run the desired order got %d more orders", sim.ordersSent-before)
	}
	return sim.checkConverged()
}

func duplicates(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.orderDelivery = func(*instance, protocol.TargetID) delivery { return duplicated }
	sim.publish("v2")
	sim.run(takeoverSeconds)
	return sim.checkConverged()
}

func lateOrder(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.orderDelivery = func(*instance, protocol.TargetID) delivery { return delayed }
	sim.publish("v2")
	sim.run(1)
	sim.orderDelivery = nil
	sim.publish("v3")
	sim.run(rolloutSeconds)
	sim.deliverDelayed()
	sim.run(rolloutSeconds)
	return sim.checkConverged()
}

func swappedReads(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.swapReads = true
	sim.publish("v2")
	sim.run(rolloutSeconds)
	sim.swapReads = false
	sim.run(rolloutSeconds)
	return sim.checkConverged()
}

func isolatedFromLog(sim *simulation) error {
	sim.run(rolloutSeconds)
	isolated := sim.instances[0]
	isolated.logReachable = false
	lateOrders := 0
	sim.orderDelivery = func(n *instance, _ protocol.TargetID) delivery {
		if n == isolated && sim.now.Sub(isolated.renewedAt) > testHoldTime {
			lateOrders++
		}
		return delivered
	}
	sim.run(12)
	sim.publish("v2")
	sim.run(takeoverSeconds)
	if lateOrders > 0 {
		return fmt.Errorf("the former holder sent %d orders after its session lapsed", lateOrders)
	}
	return sim.checkConverged()
}

func rollOutVersion(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.publish("v2")
	sim.run(rolloutSeconds)
	return sim.checkConverged()
}

// Without faults, a new version reaches all targets of the domain.
func TestVersionIsRolledOut(t *testing.T) {
	for _, checks := range []bool{true, false} {
		require.NoError(t, rollOutVersion(newSimulation(checks, variant{})), "targets check: %t", checks)
	}
}

func targetDead(sim *simulation) error {
	sim.run(rolloutSeconds)
	sim.targets[0].down = true
	sim.publish("v2")
	sim.run(takeoverSeconds)
	if err := sim.checkConverged(); err != nil {
		return err
	}
	sim.targets[0].down = false
	sim.run(rolloutSeconds)
	return sim.checkConverged()
}

func operatorsRacing(sim *simulation) error {
	sim.run(rolloutSeconds)
	for i := range 10 {
		sim.publish(fmt.Sprint("v", i+2))
		sim.run(1)
	}
	sim.run(takeoverSeconds)
	return sim.checkConverged()
}

func TestMatrixOrders(t *testing.T) {
	for _, c := range faultCases() {
		t.Run("order/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=order fault=%s result=not-applicable reason=%q", c.fault, c.description)
				return
			}
			for _, checks := range []bool{true, false} {
				require.NoError(t, c.run(newSimulation(checks, variant{})), "%s (targets check: %t)", c.description, checks)
			}
			t.Logf("matrix step=order fault=%s result=held", c.fault)
		})
	}
}

// The matrix detects faults in the code: each disabled part of the decision makes
// a case fail that otherwise passes.
func TestBrokenVariantsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		v      variant
		checks bool
		run    func(*simulation) error
	}{
		{"no fencing number", variant{noFence: true}, true, pausePastLease},
		{"no reads afterwards", variant{readOnce: true}, false, pausePastLease},
		{"orders after the session lapsed", variant{ignoreLapse: true}, false, logDown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.run(newSimulation(c.checks, c.v))
			require.Error(t, err)
			t.Log("found:", err)
		})
	}
}

// Only some of the targets load a new version at the same time. If all did, the
// service would be unavailable during the roll-out.
func TestRollOutChangesFewTargetsAtATime(t *testing.T) {
	sim := newSimulation(false, variant{})
	sim.run(rolloutSeconds)
	sim.publish("v2")
	for range rolloutSeconds {
		sim.run(1)
		busy := 0
		for _, target := range sim.targets {
			busy += len(target.inProgress)
		}
		require.LessOrEqual(t, busy, 1)
	}
	require.NoError(t, sim.checkConverged())
}

// The holder of the lease terminates while a target that does not check fencing
// numbers carries out its order. The next holder sends no order before that order
// must be finished.
func TestNewHolderWaitsForTargetsWithoutFencing(t *testing.T) {
	sim := newSimulation(false, variant{})
	sim.run(rolloutSeconds)
	sim.instances[0].running = false
	died := sim.now
	sim.publish("v2")
	earliest := died.Add(testSessionExpiry + testHoldTime + sim.service.LongestOrder)
	sim.orderDelivery = func(*instance, protocol.TargetID) delivery {
		require.False(t, sim.now.Before(earliest), "an order %s after the holder terminated", sim.now.Sub(died))
		return delivered
	}
	sim.run(takeoverSeconds)
	require.NoError(t, sim.checkConverged())
}

func TestControllerIsIdleOnlyWithoutOrdersInFlight(t *testing.T) {
	sim := newSimulation(true, variant{})
	duty := sim.instances[0].controller
	require.False(t, duty.Idle(sim.now))
	sim.run(rolloutSeconds)
	require.True(t, duty.Idle(sim.now))
	sim.publish("v2")
	sim.run(1)
	require.False(t, duty.Idle(sim.now), "a target is carrying out an order")
}
