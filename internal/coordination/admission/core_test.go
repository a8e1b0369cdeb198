package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/protocol"
)

var epoch = time.Unix(1_000_000, 0)

func filled(capacity int) *Core {
	c := NewCore(Defaults())
	c.SetCapacity("s", Capacity{Slots: capacity, Instances: 1})
	for range capacity {
		d := c.Enter(epoch, Call{Organisation: "busy", Service: "s", Deadline: epoch.Add(time.Hour)})
		if !d.Admitted {
			panic("a free place was not given")
		}
	}
	return c
}

// One organisation sends many times its share and fills its queue. A caller of
// another organisation that comes later must not wait behind all of it.
func TestFloodOfOneOrganisationDoesNotDelayAnother(t *testing.T) {
	c := filled(1)
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

// The queue is so long that a call can't run before its deadline. The caller
// is told at once, with the time to come back, and not at the deadline.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	c := filled(1)
	for range 5 {
		c.Enter(epoch, Call{Organisation: "o", Service: "s", Deadline: epoch.Add(time.Hour)})
	}
	d := c.Enter(epoch, Call{Organisation: "o", Service: "s", Deadline: epoch.Add(3 * time.Second)})
	require.Equal(t, protocol.CodeOverloaded, d.Code)
	require.Equal(t, 9*time.Second, d.RetryAfter)
}

func TestWeightsAreServedInProportion(t *testing.T) {
	c := filled(1)
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
