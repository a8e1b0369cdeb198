package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

// newFullCore returns a Core whose service "s" has a capacity that is fully in use.
func newFullCore(capacity int) *Core {
	c := NewCore(Defaults())
	c.SetCapacity("s", Capacity{Slots: capacity, Instances: 1})
	for range capacity {
		d := c.Enter(epoch, Call{Organisation: "busy", Service: "s", Deadline: epoch.Add(time.Hour)})
		if !d.Admitted {
			panic("a call was not admitted although a slot was free")
		}
	}
	return c
}

// Guards against an organisation that delays another one: it sends many times its share
// and fills its part of the queue, and then a call of the other organisation arrives.
func TestFloodOfOneOrganisationDoesNotDelayAnother(t *testing.T) {
	c := newFullCore(1)
	deadline := epoch.Add(time.Hour)
	for range 100 {
		c.Enter(epoch, Call{Organisation: "flood", Service: "s", Deadline: deadline})
	}
	quiet := c.Enter(epoch, Call{Organisation: "quiet", Service: "s", Deadline: deadline})
	require.NotZero(t, quiet.WaitID)
	var order []WaitID
	for range 2 {
		c.Release("s", time.Second)
		order = append(order, c.AdmitWaiting("s")...)
	}
	require.Contains(t, order, quiet.WaitID)
}

// Guards against a call that is queued although it cannot run before its deadline. It has
// to be rejected at once, with a time after which to retry, and not at its deadline.
func TestCallThatWouldMissItsDeadlineIsRejectedAtOnce(t *testing.T) {
	c := newFullCore(1)
	for range 5 {
		c.Enter(epoch, Call{Organisation: "o", Service: "s", Deadline: epoch.Add(time.Hour)})
	}
	d := c.Enter(epoch, Call{Organisation: "o", Service: "s", Deadline: epoch.Add(3 * time.Second)})
	require.Equal(t, protocol.CodeOverloaded, d.Code)
	require.Equal(t, 9*time.Second, d.RetryAfter)
}

// Guards against shares that do not follow the weights: with weights of 3 and 0.5 the
// heavier organisation gets 24 of 28 calls.
func TestCallsAreAdmittedInProportionToWeights(t *testing.T) {
	c := newFullCore(1)
	deadline := epoch.Add(time.Hour)
	heavy := map[WaitID]bool{}
	for range 40 {
		d := c.Enter(epoch, Call{Organisation: "heavy", Weight: 3, Service: "s", Deadline: deadline})
		heavy[d.WaitID] = true
		c.Enter(epoch, Call{Organisation: "light", Weight: 0.5, Service: "s", Deadline: deadline})
	}
	count := 0
	for range 28 {
		c.Release("s", time.Second)
		for _, id := range c.AdmitWaiting("s") {
			if heavy[id] {
				count++
			}
		}
	}
	require.Equal(t, 24, count)
}
