package orders

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

// cell is one fault at the step "order". It gives what the checkers found.
type cell struct {
	fault string
	// story tells how the failure comes about and what a user notices.
	story string
	run   func(w *world) error
}

const (
	// takeover is long enough for a session to expire, a new holder to wait
	// and all targets to change one after the other.
	takeover = 90
	// roll is long enough for a change at all targets without a takeover.
	roll = 40
)

func cells() []cell {
	return []cell{
		{"kill-before", "The holder dies just before its first order of a new version. Without a takeover the targets would run the old one for ever.", killBefore},
		{"kill-after", "The holder dies after one target took the new version. The fleet would run two versions for ever.", killAfter},
		{"pause-past-lease", "The holder is paused with an order in its hands. It sends it long after another holder has ordered a newer version; the target would go back to the old one.", pausePastLease},
		{"log-down", "The log is down while the holder works. Nobody can tell whether it still is the holder, so it must stop and go on later.", logDown},
		{"answer-lost", "Targets take orders whose answers are lost. The holder must neither give up nor order for ever.", answersLost},
		{"duplicate", "The network delivers each order twice.", duplicates},
		{"late", "An order is held up in the network and arrives after the configuration has moved on.", lateOrder},
		{"crossed", "The answers of the targets are mixed up, so that one seems to run what another runs.", crossedLooks},
		{"cut-from-log", "The holder is cut off from the log, but not from its targets. Another one takes over; two holders would order against each other.", cutFromLog},
		{"cut-from-domain", "the duty is the domain's own and calls no other domain, so that a cut strikes nothing", nil},
		{"target-dead", "A target does not answer. The others must get the new version all the same.", targetDead},
		{"operators-racing", "Operators publish one version after the other while targets load. All must end with the last one.", operatorsRacing},
	}
}

func (w *world) publish(version string) { w.wanted.Version = version }

func killBefore(w *world) error {
	w.run(roll)
	w.publish("v2")
	w.nodes[0].up = false
	w.run(takeover)
	return w.settled()
}

func killAfter(w *world) error {
	w.run(roll)
	w.publish("v2")
	w.run(1)
	w.nodes[0].up = false
	w.run(takeover)
	return w.settled()
}

func pausePastLease(w *world) error {
	w.run(roll)
	first := w.nodes[0]
	w.orderFate = func(n *node, _ protocol.TargetID) fate {
		if n == first {
			return heldBack
		}
		return arrives
	}
	w.publish("v2")
	w.run(2)
	first.up = false
	w.publish("v3")
	w.run(takeover)
	if err := w.settled(); err != nil {
		return err
	}
	first.up = true
	if len(w.held) == 0 {
		return fmt.Errorf("the case needs an order that was held back")
	}
	w.release()
	w.run(roll)
	return w.settled()
}

func logDown(w *world) error {
	w.run(roll)
	w.logDown = true
	w.run(12)
	before := w.given
	w.publish("v2")
	w.run(30)
	if w.given != before {
		return fmt.Errorf("%d orders were given under a lapsed session", w.given-before)
	}
	w.logDown = false
	w.run(takeover)
	return w.settled()
}

func answersLost(w *world) error {
	w.orderFate = func(*node, protocol.TargetID) fate { return answerLost }
	w.publish("v2")
	w.run(takeover)
	before := w.given
	w.run(roll)
	if w.given != before {
		return fmt.Errorf("targets that run what is wanted got %d more orders", w.given-before)
	}
	return w.settled()
}

func duplicates(w *world) error {
	w.run(roll)
	w.orderFate = func(*node, protocol.TargetID) fate { return twice }
	w.publish("v2")
	w.run(takeover)
	return w.settled()
}

func lateOrder(w *world) error {
	w.run(roll)
	w.orderFate = func(*node, protocol.TargetID) fate { return heldBack }
	w.publish("v2")
	w.run(1)
	w.orderFate = nil
	w.publish("v3")
	w.run(roll)
	w.release()
	w.run(roll)
	return w.settled()
}

func crossedLooks(w *world) error {
	w.run(roll)
	w.crossLooks = true
	w.publish("v2")
	w.run(roll)
	w.crossLooks = false
	w.run(roll)
	return w.settled()
}

func cutFromLog(w *world) error {
	w.run(roll)
	first := w.nodes[0]
	first.logUp = false
	late := 0
	w.orderFate = func(n *node, _ protocol.TargetID) fate {
		if n == first && w.now.Sub(first.renewed) > testHold {
			late++
		}
		return arrives
	}
	w.run(12)
	w.publish("v2")
	w.run(takeover)
	if late > 0 {
		return fmt.Errorf("the former holder gave %d orders after its session lapsed", late)
	}
	return w.settled()
}

func rollOut(w *world) error {
	w.run(roll)
	w.publish("v2")
	w.run(roll)
	return w.settled()
}

// A new version reaches all targets of the domain. No fault strikes.
func TestVersionIsRolledOut(t *testing.T) {
	for _, checks := range []bool{true, false} {
		require.NoError(t, rollOut(newWorld(checks, variant{})), "targets check: %t", checks)
	}
}

func targetDead(w *world) error {
	w.run(roll)
	w.targets[0].dead = true
	w.publish("v2")
	w.run(takeover)
	if err := w.settled(); err != nil {
		return err
	}
	w.targets[0].dead = false
	w.run(roll)
	return w.settled()
}

func operatorsRacing(w *world) error {
	w.run(roll)
	for i := range 10 {
		w.publish(fmt.Sprint("v", i+2))
		w.run(1)
	}
	w.run(takeover)
	return w.settled()
}

func TestMatrixOrders(t *testing.T) {
	for _, c := range cells() {
		t.Run("order/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=order fault=%s result=not-applicable reason=%q", c.fault, c.story)
				return
			}
			for _, checks := range []bool{true, false} {
				require.NoError(t, c.run(newWorld(checks, variant{})), "%s (targets check: %t)", c.story, checks)
			}
			t.Logf("matrix step=order fault=%s result=held", c.fault)
		})
	}
}

// The matrix can turn red: each part of the decision that is taken out lets a
// cell fail, which otherwise holds.
func TestBrokenOrdersTurnCellsRed(t *testing.T) {
	cases := []struct {
		name   string
		v      variant
		checks bool
		run    func(*world) error
	}{
		{"no fencing number", variant{noFence: true}, true, pausePastLease},
		{"no look afterwards", variant{lookOnce: true}, false, pausePastLease},
		{"orders after the session lapsed", variant{ignoreLapse: true}, false, logDown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.run(newWorld(c.checks, c.v))
			require.Error(t, err)
			t.Log("found:", err)
		})
	}
}

// A new version loads at a part of the targets at a time. If all loaded at
// once, the service would be down meanwhile.
func TestRollOutChangesFewTargetsAtATime(t *testing.T) {
	w := newWorld(false, variant{})
	w.run(roll)
	w.publish("v2")
	for range roll {
		w.run(1)
		busy := 0
		for _, target := range w.targets {
			busy += len(target.working)
		}
		require.LessOrEqual(t, busy, 1)
	}
	require.NoError(t, w.settled())
}

// The holder of a duty dies while a target that checks nothing works on its
// order. The next holder gives no order before the last one must be over.
func TestNewHolderWaitsAtTargetsThatDoNotCheck(t *testing.T) {
	w := newWorld(false, variant{})
	w.run(roll)
	w.nodes[0].up = false
	died := w.now
	w.publish("v2")
	earliest := died.Add(testExpire + testHold + w.service.LongestOrder)
	w.orderFate = func(*node, protocol.TargetID) fate {
		require.False(t, w.now.Before(earliest), "an order %s after the death", w.now.Sub(died))
		return arrives
	}
	w.run(takeover)
	require.NoError(t, w.settled())
}

func TestDutyIsSettledOnlyWhenNothingIsOnItsWay(t *testing.T) {
	w := newWorld(true, variant{})
	duty := w.nodes[0].duty
	require.False(t, duty.Settled(w.now))
	w.run(roll)
	require.True(t, duty.Settled(w.now))
	w.publish("v2")
	w.run(1)
	require.False(t, duty.Settled(w.now), "a target works on an order")
}
