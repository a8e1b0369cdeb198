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

type fixedCapacity struct{ slots int }

func (f *fixedCapacity) Capacity(protocol.ServiceName) Capacity {
	return Capacity{Slots: f.slots, Instances: 1}
}

// world is an admission with one place, which a call holds.
type world struct {
	*Admission
	capacity *fixedCapacity
	first    coordination.Ticket
}

func newWorld(t *testing.T) *world {
	t.Helper()
	fleet := &protocol.Fleet{Services: map[protocol.ServiceName]protocol.Service{"s": {Name: "s"}}}
	w := &world{capacity: &fixedCapacity{slots: 1}}
	w.Admission = New(Config{Fleet: func() *protocol.Fleet { return fleet }, Capacities: w.capacity, Settings: Defaults()})
	w.refresh()
	ticket, refusal := w.Enter(t.Context(), "o", "s", time.Now().Add(time.Hour))
	require.Nil(t, refusal)
	w.first = ticket
	return w
}

type answer struct {
	ticket  coordination.Ticket
	refusal *protocol.Refusal
	at      time.Time
}

// enter makes a call that waits.
func (w *world) enter(t *testing.T, ctx context.Context, within time.Duration) <-chan answer {
	t.Helper()
	answers := make(chan answer, 1)
	go func() {
		ticket, refusal := w.Enter(ctx, "o", "s", time.Now().Add(within))
		answers <- answer{ticket: ticket, refusal: refusal, at: time.Now()}
	}()
	synctest.Wait()
	return answers
}

// requireFree checks that no place was lost: the next call runs.
func (w *world) requireFree(t *testing.T) {
	t.Helper()
	ticket, refusal := w.Enter(t.Context(), "o", "s", time.Now().Add(time.Hour))
	require.Nil(t, refusal)
	ticket.Release()
}

// A call waits until its deadline. It is refused at that moment, not later, and
// the place that comes free afterwards is not lost.
func queuePause(t *testing.T) {
	w := newWorld(t)
	began := time.Now()
	answers := w.enter(t, t.Context(), 5*time.Second)
	got := <-answers
	require.Equal(t, protocol.CodeDeadline, got.refusal.Code)
	require.Equal(t, 5*time.Second, got.at.Sub(began))
	w.first.Release()
	w.requireFree(t)
}

// A caller gives its place back twice. The second time must not free the place
// of another.
func queueDuplicate(t *testing.T) {
	w := newWorld(t)
	w.first.Release()
	w.first.Release()
	w.requireFree(t)
	require.Zero(t, w.core.Load("s").Running)
}

// A place comes free in the very moment of the deadline. Whichever wins, the
// place is not lost.
func queueLate(t *testing.T) {
	w := newWorld(t)
	answers := w.enter(t, t.Context(), 5*time.Second)
	time.AfterFunc(5*time.Second, w.first.Release)
	if got := <-answers; got.refusal == nil {
		got.ticket.Release()
	}
	synctest.Wait()
	w.requireFree(t)
}

// The log is not needed to decide: calls are admitted as before.
func queueLogDown(t *testing.T) {
	w := newWorld(t)
	answers := w.enter(t, t.Context(), 5*time.Second)
	w.first.Release()
	got := <-answers
	require.Nil(t, got.refusal)
	got.ticket.Release()
	w.requireFree(t)
}

// The failure domain with all targets is cut off. A new call is told so at once,
// and a waiting one goes on when the targets are back.
func queueCut(t *testing.T) {
	w := newWorld(t)
	answers := w.enter(t, t.Context(), 10*time.Second)
	w.capacity.slots = 0
	w.refresh()
	w.first.Release()
	_, refusal := w.Enter(t.Context(), "o", "s", time.Now().Add(time.Minute))
	require.Equal(t, protocol.CodeNoTarget, refusal.Code)
	require.Equal(t, protocol.NotRun, refusal.Run)
	w.capacity.slots = 1
	w.refresh()
	got := <-answers
	require.Nil(t, got.refusal)
	got.ticket.Release()
	w.requireFree(t)
}

// Two operators change an organisation's weight while its calls wait. The calls
// keep their places and none waits for ever.
func queueOperators(t *testing.T) {
	c := filled(1)
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

func TestMatrixQueue(t *testing.T) {
	const ownMemory = "the queue is the instance's own memory: its calls end with it, and none was sent"
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
		{"cut-from-domain", "", queueCut},
		{"operators-racing", "", queueOperators},
		{"crossed", "a call that waits has asked no target yet", nil},
		{"target-dead", "a call that waits has no target yet; the next look at the capacity lacks the dead one's slots", nil},
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
