package relay

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
)

// markedFleet is a timedFleet that counts the targets that are marked as stalled now.
type markedFleet struct {
	timedFleet
	marked int
}

func (f *markedFleet) MarkStalled(placement.Choice) func() {
	f.marked++
	return func() { f.marked-- }
}

// Guards against a target that other requests avoid while its caller does not read.
func TestSuspendedMonitorRemovesItsMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &markedFleet{}
		r := bodyRoute
		c := &call{Relay: New(Options{Targets: f, Placer: f, Logger: log.NewNopLogger()}),
			RoutedRequest: &RoutedRequest{Request: &exchange.Request{ID: "r"}, Route: &r, Service: "s"}}
		m := c.monitorStalls(t.Context(), placement.Choice{})
		defer m.stop()
		<-time.After(time.Second)
		require.Equal(t, 1, f.marked)
		m.suspend()
		require.Zero(t, f.marked)
		<-time.After(time.Second)
		require.Zero(t, f.marked)
	})
}

// Guards against a reserved slot that stays occupied until the deadline: the exchange is cancelled for
// it while the caller does not read. Also guards against an event that is sent twice, since it was
// lent to the writer at that time.
func TestWaitForCallerEndsWithTheExchange(t *testing.T) {
	for name, lent := range map[string]bool{"part waits": false, "part is lent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &timedFleet{}
				r := resumableRoute
				opts := Options{Targets: f, Placer: f, AnswerBuffers: answerbuffer.NewBudget(1000), Logger: log.NewNopLogger()}
				c := &call{Relay: New(opts), RoutedRequest: &RoutedRequest{Request: &exchange.Request{ID: "r"}, Route: &r, Service: "s"}}
				sink := newSlowCaller(10)
				d := newDelivery(c, sink, func(error) {})
				m := c.monitorStalls(t.Context(), placement.Choice{})
				defer m.stop()
				if !lent {
					require.NoError(t, d.send([]byte("held"), m))
				}
				timer := time.AfterFunc(100*time.Millisecond, m.cancel)
				defer timer.Stop()
				began := time.Now()
				part := strings.Repeat("x", 2000)
				err := d.send([]byte(part), m)
				require.Equal(t, 100*time.Millisecond, time.Since(began))
				if lent {
					require.NoError(t, err, "the part is being written")
				} else {
					require.ErrorIs(t, err, context.Canceled)
				}
				require.NoError(t, d.finish(t.Context()))
				if lent {
					require.Equal(t, part, sink.body.String())
				} else {
					require.Equal(t, "held", sink.body.String())
				}
			})
		})
	}
}

// Guards against a healthy target that other requests avoid while it sends a body for longer than the
// limit of its first bytes.
func TestBodyThatArrivesIsNotStalled(t *testing.T) {
	for name, bound := range map[string]int64{"with buffers": 1 << 20, "without": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 100, 1000)...)}}
				got := serveSlowly(t.Context(), bodyRoute, f, newSlowCaller(1_000_000_000), bound)
				require.Equal(t, Relayed, got.outcome.Reason)
				require.Zero(t, f.stalled)
			})
		})
	}
}

// Guards against a lent event that is overwritten by later ones, or not counted and thus sent again by
// another target, if the exchange is cancelled while the event is written.
func TestLentEventOfCancelledExchangeIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &timedFleet{}
		r := resumableRoute
		opts := Options{Targets: f, Placer: f, Quarantine: f.quarantine(), AnswerBuffers: answerbuffer.NewBudget(6000), Logger: log.NewNopLogger()}
		c := &call{Relay: New(opts), RoutedRequest: &RoutedRequest{Request: &exchange.Request{ID: "r"}, Route: &r, Service: "s"}}
		c.lastEvent = exchange.FromStart
		sink := newSlowCaller(1000)
		c.sink, c.delivery = sink, newDelivery(c, sink, func(error) {})
		m := c.monitorStalls(t.Context(), placement.Choice{})
		defer m.stop()
		// The first event exceeds the bound, the second one would fit.
		first := eventParts(0, 1, 9000)[0]
		answer := timed(io.EOF, first+events(1, 2))
		answer.ctx = m.ctx
		timer := time.AfterFunc(100*time.Millisecond, m.cancel)
		defer timer.Stop()
		require.ErrorIs(t, c.forwardStream(placement.Choice{}, m, answer), context.Canceled)
		require.Equal(t, 1, c.outcome.Events)
		require.Zero(t, c.lastEvent)
		require.NoError(t, c.delivery.finish(t.Context()))
		require.Equal(t, first, sink.body.String())
	})
}

// reservingFleet is a timedFleet that always has a free slot at another target.
type reservingFleet struct {
	timedFleet
	reserved int
}

func (f *reservingFleet) TryPlace(context.Context, placement.Requirements, placement.WaitLimits) (placement.Choice, bool) {
	f.reserved++
	return placement.Choice{}, true
}

// Guards against a second slot that is reserved, and never released, for an exchange that was
// cancelled for one already: its monitor was suspended and resumed meanwhile.
func TestCancelledExchangeReservesNoSecondSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &reservingFleet{}
		r := bodyRoute
		c := &call{Relay: New(Options{Targets: f, Placer: f, Logger: log.NewNopLogger()}),
			RoutedRequest: &RoutedRequest{Request: &exchange.Request{ID: "r"}, Route: &r, Service: "s"}}
		m := c.monitorStalls(t.Context(), placement.Choice{})
		defer m.stop()
		<-m.ctx.Done()
		m.suspend()
		m.resume()
		<-time.After(time.Second)
		require.Equal(t, 1, f.reserved)
	})
}
