package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/protocol"
)

// fixedCapacity is a CapacitySource with a settable number of slots.
type fixedCapacity struct{ slots int }

func (f *fixedCapacity) Capacity(protocol.ServiceName) Capacity {
	return Capacity{Slots: f.slots, Instances: 1}
}

// fixture is an Admission with a single slot, which the call of holder occupies.
type fixture struct {
	*Admission
	capacity *fixedCapacity
	holder   coordination.Ticket
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fleet := &protocol.Fleet{Services: map[protocol.ServiceName]protocol.Service{"s": {Name: "s"}}}
	f := &fixture{capacity: &fixedCapacity{slots: 1}}
	f.Admission = New(Config{Fleet: func() *protocol.Fleet { return fleet }, Capacities: f.capacity, Settings: Defaults()})
	f.refreshCapacities()
	ticket, refusal := f.Enter(t.Context(), "o", "s", time.Now().Add(time.Hour))
	require.Nil(t, refusal)
	f.holder = ticket
	return f
}

// result is what Enter returned, and when.
type result struct {
	ticket  coordination.Ticket
	refusal *protocol.Refusal
	at      time.Time
}

// enter starts a call that has to wait.
func (f *fixture) enter(t *testing.T, ctx context.Context, within time.Duration) <-chan result {
	t.Helper()
	results := make(chan result, 1)
	go func() {
		ticket, refusal := f.Enter(ctx, "o", "s", time.Now().Add(within))
		results <- result{ticket: ticket, refusal: refusal, at: time.Now()}
	}()
	synctest.Wait()
	return results
}

// requireFree checks that the slot was not leaked: the next call is admitted.
func (f *fixture) requireFree(t *testing.T) {
	t.Helper()
	ticket, refusal := f.Enter(t.Context(), "o", "s", time.Now().Add(time.Hour))
	require.Nil(t, refusal)
	ticket.Release()
}

// A call waits until its deadline. It is rejected at that moment, not later, and the slot
// that is released afterwards is not leaked.
func queuePause(t *testing.T) {
	f := newFixture(t)
	began := time.Now()
	results := f.enter(t, t.Context(), 5*time.Second)
	got := <-results
	require.Equal(t, protocol.CodeDeadline, got.refusal.Code)
	require.Equal(t, 5*time.Second, got.at.Sub(began))
	f.holder.Release()
	f.requireFree(t)
}

// A call releases its slot twice. The second Release must not release the slot of another
// call.
func queueDuplicate(t *testing.T) {
	f := newFixture(t)
	f.holder.Release()
	f.holder.Release()
	f.requireFree(t)
	require.Zero(t, f.core.Load("s").Running)
}

// The slot is released at the same time as the deadline passes. Whichever is handled
// first, the slot is not leaked.
func queueLate(t *testing.T) {
	f := newFixture(t)
	results := f.enter(t, t.Context(), 5*time.Second)
	time.AfterFunc(5*time.Second, f.holder.Release)
	if got := <-results; got.refusal == nil {
		got.ticket.Release()
	}
	synctest.Wait()
	f.requireFree(t)
}

// The log is unavailable. Admission does not depend on it: calls are admitted as before.
func queueLogDown(t *testing.T) {
	f := newFixture(t)
	results := f.enter(t, t.Context(), 5*time.Second)
	f.holder.Release()
	got := <-results
	require.Nil(t, got.refusal)
	got.ticket.Release()
	f.requireFree(t)
}

// A network partition isolates the failure domain with all targets. A new call is
// rejected at once, and a waiting call is admitted when the targets are back.
func queuePartition(t *testing.T) {
	f := newFixture(t)
	results := f.enter(t, t.Context(), 10*time.Second)
	f.capacity.slots = 0
	f.refreshCapacities()
	f.holder.Release()
	_, refusal := f.Enter(t.Context(), "o", "s", time.Now().Add(time.Minute))
	require.Equal(t, protocol.CodeNoTarget, refusal.Code)
	require.Equal(t, protocol.NotRun, refusal.Run)
	f.capacity.slots = 1
	f.refreshCapacities()
	got := <-results
	require.Nil(t, got.refusal)
	got.ticket.Release()
	f.requireFree(t)
}

// Two operators change an organisation's weight while its calls wait. The calls keep
// their positions in the queue, and all of them are admitted.
func queueOperators(t *testing.T) {
	c := newFullCore(1)
	ids := map[WaitID]bool{}
	for i := range 20 {
		weight := []float64{0.1, 5}[i%2]
		d := c.Enter(epoch, Call{Organisation: "o", Weight: weight, Service: "s", Deadline: epoch.Add(time.Hour)})
		ids[d.WaitID] = true
	}
	for range 20 {
		c.Release("s", time.Second)
		for _, id := range c.AdmitWaiting("s") {
			delete(ids, id)
		}
	}
	require.Empty(t, ids)
}

// TestMatrixQueue covers the queue's row of the fault matrix: each fault either leaves the
// queue correct or cannot affect it, for the reason given.
func TestMatrixQueue(t *testing.T) {
	const ownMemory = "the queue is in the instance's memory: its calls end with the instance, and none was sent to a target"
	cells := []struct {
		fault, reason string
		run           func(*testing.T)
	}{
		{"kill-before", ownMemory, nil},
		{"kill-after", ownMemory, nil},
		{"pause-past-lease", "", queuePause},
		{"log-down", "", queueLogDown},
		{"answer-lost", "no message is sent", nil},
		{"duplicate", "", queueDuplicate},
		{"late", "", queueLate},
		{"cut-from-log", "", queueLogDown},
		{"cut-from-domain", "", queuePartition},
		{"operators-racing", "", queueOperators},
		{"crossed", "a waiting call has not been sent to a target", nil},
		{"target-dead", "a waiting call has no target yet; the next refresh of the capacity leaves out the slots of the dead target", nil},
	}
	for _, c := range cells {
		t.Run("queue/"+c.fault, func(t *testing.T) {
			if c.run == nil {
				t.Logf("matrix step=queue fault=%s result=not-applicable reason=%q", c.fault, c.reason)
				return
			}
			synctest.Test(t, c.run)
			t.Logf("matrix step=queue fault=%s result=held reason=%q", c.fault, c.reason)
		})
	}
}
