package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// slowCaller is a caller that takes a number of bytes a second. A write returns when all of it is
// taken.
type slowCaller struct {
	bytesPerSecond int
	aborted        chan struct{}
	abort          sync.Once

	mu     sync.Mutex
	status int
	body   strings.Builder
	// at holds the time of each write. direct counts the writes without a buffer.
	at     []time.Time
	direct int
}

func newSlowCaller(bytesPerSecond int) *slowCaller {
	return &slowCaller{bytesPerSecond: bytesPerSecond, aborted: make(chan struct{})}
}

func (s *slowCaller) SendHead(reply *exchange.Reply) { s.status = reply.Status }

func (s *slowCaller) SendBody(part []byte) error {
	s.direct++
	return s.SendParts([][]byte{part})
}

func (s *slowCaller) SendParts(parts [][]byte) error {
	for _, part := range parts {
		timer := time.NewTimer(time.Duration(len(part)) * time.Second / time.Duration(s.bytesPerSecond))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.aborted:
			return errors.New("aborted")
		}
		s.mu.Lock()
		s.body.Write(part)
		s.at = append(s.at, time.Now())
		s.mu.Unlock()
	}
	return nil
}

func (s *slowCaller) Abort() { s.abort.Do(func() { close(s.aborted) }) }

// timedAnswer is an answer whose parts arrive at an interval. It records when each was read.
type timedAnswer struct {
	head     exchange.Reply
	parts    []string
	interval time.Duration
	ctx      context.Context
	readErr  error
	readAt   []time.Time
	closedAt time.Time
}

func (a *timedAnswer) Head() *exchange.Reply { return &a.head }
func (a *timedAnswer) Close()                { a.closedAt = time.Now() }
func (a *timedAnswer) Read(p []byte) (int, error) {
	if len(a.parts) == 0 {
		return 0, a.readErr
	}
	timer := time.NewTimer(a.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
		return 0, a.ctx.Err()
	}
	n := copy(p, a.parts[0])
	if a.parts[0] = a.parts[0][n:]; a.parts[0] == "" {
		a.parts = a.parts[1:]
	}
	a.readAt = append(a.readAt, time.Now())
	return n, nil
}

// timedFleet is a scriptedFleet whose targets send timed answers, and that records when slots
// were released and targets marked as stalled.
type timedFleet struct {
	scriptedFleet
	answers []*timedAnswer
	doneAt  []time.Time
	stalled int
}

func (f *timedFleet) Send(ctx context.Context, address string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	f.sent = append(f.sent, *d)
	answer := f.answers[len(f.sent)-1]
	answer.ctx = ctx
	return answer, nil
}

func (f *timedFleet) Done(choice placement.Choice, result placement.Result) {
	f.scriptedFleet.Done(choice, result)
	f.doneAt = append(f.doneAt, time.Now())
}

func (f *timedFleet) MarkStalled(placement.Choice) func() {
	f.stalled++
	return func() {}
}

// timed returns an answer with parts that arrive every 10 ms.
func timed(readErr error, parts ...string) *timedAnswer {
	return &timedAnswer{head: exchange.Reply{Status: http.StatusOK}, parts: parts, interval: 10 * time.Millisecond, readErr: readErr}
}

// eventParts returns the events from up to, but not including, to, each with a size.
func eventParts(from, to, size int) []string {
	var out []string
	for n := from; n < to; n++ {
		out = append(out, strings.Replace(events(n, n+1), "data: ", "data: "+strings.Repeat("x", size), 1))
	}
	return out
}

// served is the result of serving a slow caller.
type served struct {
	outcome Outcome
	budget  *answerbuffer.Budget
	began   time.Time
	ended   time.Time
}

// serveSlowly serves a caller with buffers of a size, 0: without.
func serveSlowly(ctx context.Context, r route.Route, f *timedFleet, c *slowCaller, bound int64) served {
	out := served{began: time.Now()}
	opts := Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Logger: log.NewNopLogger()}
	if bound > 0 {
		out.budget = answerbuffer.NewBudget(bound)
	}
	return out.serve(ctx, r, opts, c)
}

// serve serves a caller with the budget of s, nil: without.
func (out served) serve(ctx context.Context, r route.Route, opts Options, c *slowCaller) served {
	opts.AnswerBuffers = out.budget
	request := &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart}
	out.outcome = New(opts).Serve(ctx, &RoutedRequest{
		Request: request, Route: &r, Service: "s", ReceivedAt: out.began, Deadline: out.began.Add(requestTime),
	}, c)
	out.ended = time.Now()
	return out
}

var bodyRoute = route.Route{Kind: route.Idempotent, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 2}

// Guards against a caller that reads slowly and holds its target's slot, or whose answer is cut at
// the request's deadline though the target has sent all of it.
func TestSlotIsFreeWhenTargetsAnswerEnds(t *testing.T) {
	for name, r := range map[string]route.Route{"stream": resumableRoute, "body": bodyRoute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				parts := eventParts(0, 50, 200)
				whole := strings.Join(parts, "")
				f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, parts...)}}
				c := newSlowCaller(1000)
				got := serveSlowly(t.Context(), r, f, c, 1<<20)
				require.Equal(t, Relayed, got.outcome.Reason)
				require.Equal(t, whole, c.body.String())
				require.Equal(t, 500*time.Millisecond, f.doneAt[0].Sub(got.began))
				require.Equal(t, []placement.Result{placement.Served}, f.results)
				require.Greater(t, got.ended.Sub(got.began), 10*time.Second)
				require.Greater(t, got.outcome.CallerLag, 9*time.Second)
				require.Greater(t, got.outcome.HeldBytes, 9000)
				require.Zero(t, got.budget.Levels().Answers)
				require.Zero(t, c.direct)

				// The same without buffers, for comparison.
				f = &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 50, 200)...)}}
				got = serveSlowly(t.Context(), r, f, newSlowCaller(1000), 0)
				require.Greater(t, f.doneAt[0].Sub(got.began), requestTime)
			})
		})
	}
}

// Guards against a change for deployments that have the part turned off: each part is written
// before the next one is read.
func TestWithoutBuffersEachPartIsWrittenDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 10, 100)...)}}
		c := newSlowCaller(1000)
		got := serveSlowly(t.Context(), resumableRoute, f, c, 0)
		require.Equal(t, Relayed, got.outcome.Reason)
		require.Equal(t, 10, c.direct)
		for n := 1; n < 10; n++ {
			require.True(t, f.answers[0].readAt[n].After(c.at[n-1]), "event %d was read before the one before it was written", n)
		}
		require.Zero(t, got.outcome.HeldBytes)
		require.Zero(t, got.outcome.CallerLag)
	})
}

// Guards against an event that waits in a buffer though its caller reads.
func TestEventIsWrittenAtOnceToCallerThatReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 20, 100)...)}}
		c := newSlowCaller(1_000_000_000)
		got := serveSlowly(t.Context(), resumableRoute, f, c, 1<<20)
		require.Equal(t, Relayed, got.outcome.Reason)
		require.Len(t, c.at, 20)
		for n, at := range c.at {
			require.Less(t, at.Sub(f.answers[0].readAt[n]), time.Microsecond)
		}
		require.Equal(t, 10*time.Millisecond, got.outcome.TimeToFirstByte)
		require.Less(t, got.outcome.CallerLag, time.Microsecond)
	})
}

// Guards against an answer that is aborted since it exceeds the bound, against memory beyond the
// bound, and against a target that is taken for stalled while its caller does not read.
func TestAnswerLargerThanTheBoundIsReadAsTheCallerReads(t *testing.T) {
	for name, r := range map[string]route.Route{"stream": resumableRoute, "body": bodyRoute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const bound = 20_000
				parts := eventParts(0, 50, 1000)
				whole := strings.Join(parts, "")
				f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, parts...)}}
				c := newSlowCaller(20_000)
				got := serveSlowly(t.Context(), r, f, c, bound)
				require.Equal(t, Relayed, got.outcome.Reason)
				require.Equal(t, whole, c.body.String())
				require.LessOrEqual(t, got.budget.Peak().Answers, int64(bound))
				require.Greater(t, got.budget.Peak().Answers, int64(bound/2))
				require.Positive(t, got.outcome.ReadStopped)
				require.Zero(t, got.budget.Levels().Answers)
				require.Zero(t, f.stalled)
				require.Len(t, f.sent, 1)
			})
		})
	}
}

// Guards against an event that exceeds the whole bound and is never delivered.
func TestEventLargerThanTheBoundIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := eventParts(0, 3, 5000)
		whole := strings.Join(parts, "")
		f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, parts...)}}
		c := newSlowCaller(100_000)
		got := serveSlowly(t.Context(), resumableRoute, f, c, 1000)
		require.Equal(t, Relayed, got.outcome.Reason)
		require.Equal(t, whole, c.body.String())
		require.Zero(t, got.budget.Peak().Answers)
	})
}

// Guards against an event that reaches the caller twice or not at all: a target fails while events
// wait in the buffer, and the stream goes on at another one after the last event that was taken over.
func TestStreamWithHeldEventsGoesOnAtAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := eventParts(0, 10, 100), eventParts(10, 20, 100)
		whole := strings.Join(first, "") + strings.Join(second, "")
		f := &timedFleet{answers: []*timedAnswer{timed(errors.New("reset"), append(first, "id: 10\nda")...), timed(io.EOF, second...)}}
		c := newSlowCaller(1000)
		got := serveSlowly(t.Context(), resumableRoute, f, c, 1<<20)
		require.Equal(t, Relayed, got.outcome.Reason)
		require.Equal(t, whole, c.body.String())
		require.Equal(t, 9, f.sent[1].After)
		require.Equal(t, 20, got.outcome.Events)
		require.Less(t, f.doneAt[1].Sub(got.began), 300*time.Millisecond)
	})
}

// Guards against events that were taken over and never delivered, since the target failed after
// them and the stream can't go on elsewhere.
func TestHeldEventsOfTruncatedStreamAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := eventParts(0, 10, 100)
		whole := strings.Join(parts, "")
		f := &timedFleet{answers: []*timedAnswer{timed(errors.New("reset"), parts...)}}
		c := newSlowCaller(1000)
		got := serveSlowly(t.Context(), atMostOnceRoute, f, c, 1<<20)
		require.Equal(t, Truncated, got.outcome.Reason)
		require.Equal(t, whole, c.body.String())
	})
}

// Guards against a body that is begun twice: its first part was held for the caller when the target
// failed, and another target answers.
func TestHeldPartOfLostBodyIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &timedFleet{answers: []*timedAnswer{timed(errors.New("reset"), "lost"), timed(io.EOF, "whole")}}
		c := newSlowCaller(1000)
		got := serveSlowly(t.Context(), bodyRoute, f, c, 1<<20)
		require.Equal(t, Relayed, got.outcome.Reason)
		require.Equal(t, "whole", c.body.String())
		require.Zero(t, got.budget.Levels().Answers)
	})
}

// Guards against a caller that has left and whose bytes stay held, or whose run goes on at the
// target.
func TestCallerThatLeavesFreesItsBytesAndItsRun(t *testing.T) {
	for name, after := range map[string]time.Duration{"while the target sends": 250 * time.Millisecond, "while the rest is delivered": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 50, 200)...)}}
				ctx, leave := context.WithCancel(t.Context())
				timer := time.AfterFunc(after, leave)
				defer timer.Stop()
				got := serveSlowly(ctx, resumableRoute, f, newSlowCaller(1000), 1<<20)
				require.Equal(t, CallerDisconnected, got.outcome.Reason)
				require.Equal(t, after, got.ended.Sub(got.began))
				require.Zero(t, got.budget.Levels().Answers)
				require.Equal(t, min(after, 500*time.Millisecond), f.doneAt[0].Sub(got.began))
			})
		})
	}
}

// Guards against a target that runs on for a caller that can't be written to, while the relay waits
// for the target's next event.
func TestFailedWriteEndsTheRunAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := timed(io.EOF, eventParts(0, 5, 200)...)
		answer.interval = time.Second
		f := &timedFleet{answers: []*timedAnswer{answer}}
		c := newSlowCaller(100)
		timer := time.AfterFunc(1500*time.Millisecond, c.Abort)
		defer timer.Stop()
		got := serveSlowly(t.Context(), resumableRoute, f, c, 1<<20)
		require.Equal(t, CallerDisconnected, got.outcome.Reason)
		require.Equal(t, 1500*time.Millisecond, f.doneAt[0].Sub(got.began))
		require.Zero(t, got.budget.Levels().Answers)
	})
}

// Guards against a log line that says that the caller left, where the instance's exit cut a delivery.
func TestDeliveryAtEndOfGracePeriodIsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 50, 200)...)}}
		ctx, interrupt := context.WithCancelCause(t.Context())
		timer := time.AfterFunc(2*time.Second, func() { interrupt(ErrInterrupted) })
		defer timer.Stop()
		got := serveSlowly(ctx, resumableRoute, f, newSlowCaller(1000), 1<<20)
		require.Equal(t, Interrupted, got.outcome.Reason)
		require.Equal(t, 2*time.Second, got.ended.Sub(got.began))
	})
}

// Guards against callers that read slowly and use up the bound, so that those that read, or lag only
// a little, have their targets stopped too.
func TestCallersThatLagMostAreStoppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := answerbuffer.NewBudget(100_000)
		results := make([]served, 21)
		var callers sync.WaitGroup
		for n := range results {
			callers.Go(func() {
				rate, from := 2500, 0*time.Millisecond
				if n == 20 {
					// This one lags by a seventh of what arrives, once the others have reached the bound.
					rate, from = 18_000, 500*time.Millisecond
				}
				timer := time.NewTimer(from)
				defer timer.Stop()
				<-timer.C
				f := &timedFleet{answers: []*timedAnswer{timed(io.EOF, eventParts(0, 50, 180)...)}}
				opts := Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Logger: log.NewNopLogger()}
				results[n] = served{began: time.Now(), budget: budget}.serve(t.Context(), resumableRoute, opts, newSlowCaller(rate))
			})
		}
		callers.Wait()
		stopped := 0
		var total time.Duration
		for _, r := range results[:20] {
			require.Equal(t, Relayed, r.outcome.Reason)
			if r.outcome.ReadStopped > 0 {
				stopped++
			}
			total += r.outcome.ReadStopped
		}
		require.Greater(t, stopped, 10)
		t.Logf("reads stopped for %s on the mean of the 20 that lag, for %s of the other", total/20, results[20].outcome.ReadStopped)
		require.Less(t, results[20].outcome.ReadStopped, total/20/20)
		require.LessOrEqual(t, budget.Peak().Answers, int64(75_000))
		require.Zero(t, budget.Levels().Answers)
	})
}
