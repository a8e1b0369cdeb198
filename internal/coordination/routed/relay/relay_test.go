package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
)

// step is what one target makes of a request.
type step struct {
	// err fails the sending.
	err error
	// reply is the head of the answer, body its whole body, broken what reading ends
	// with after it.
	reply  exchange.Reply
	body   string
	broken error
	// hangs never answers.
	hangs bool
}

// fleet is targets that follow a script, in the order in which they are chosen.
type fleet struct {
	steps []step
	sent  []exchange.Dispatch
	wants []placement.Want
	done  []placement.Result
	// full says that no target has a place, unknown that none is known.
	full, unknown bool
}

func (f *fleet) Send(ctx context.Context, _ string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	s := f.steps[len(f.sent)]
	f.sent = append(f.sent, *d)
	if s.hangs {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, ctx.Err())
	}
	if s.err != nil {
		return nil, s.err
	}
	return &scripted{head: s.reply, body: strings.NewReader(s.body), broken: s.broken}, nil
}

func (f *fleet) Forget(string) {}

func (f *fleet) Place(ctx context.Context, want placement.Want, patience placement.Patience) (placement.Choice, bool) {
	f.wants = append(f.wants, want)
	if f.unknown {
		return placement.Choice{}, false
	}
	if f.full {
		timer := time.NewTimer(time.Until(patience.Until))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return placement.Choice{}, false
	}
	id := fmt.Sprint("t", len(f.wants)-1)
	return placement.Choice{Target: roster.Target{ID: id, Address: id + ":1"}}, true
}

func (f *fleet) TryPlace(context.Context, placement.Want) (placement.Choice, bool) {
	return placement.Choice{}, false
}
func (f *fleet) Heard(string)                                     {}
func (f *fleet) Done(_ placement.Choice, result placement.Result) { f.done = append(f.done, result) }
func (f *fleet) Told(placement.Choice, *exchange.Load)            {}
func (f *fleet) Known(string) bool                                { return !f.unknown }
func (f *fleet) Waiting(placement.Choice) (goesOn func())         { return nil }

// scripted is an answer of a script.
type scripted struct {
	head   exchange.Reply
	body   io.Reader
	broken error
}

func (s *scripted) Head() *exchange.Reply { return &s.head }
func (s *scripted) Close()                {}
func (s *scripted) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) && s.broken != nil {
		err = s.broken
	}
	return n, err
}

// caller keeps what arrives.
type caller struct {
	status int
	body   strings.Builder
}

func (c *caller) SendHead(reply *exchange.Reply) { c.status = reply.Status }
func (c *caller) SendBody(part []byte) error {
	c.body.Write(part)
	return nil
}

var (
	notSent  = step{err: fmt.Errorf("%w: refused", external.ErrNotSent)}
	lost     = step{err: fmt.Errorf("%w: reset", external.ErrMayHaveRun)}
	notRun   = step{reply: exchange.Reply{Status: http.StatusServiceUnavailable, NotRun: true}}
	replaced = step{reply: exchange.Reply{Status: http.StatusMisdirectedRequest, NotRun: true, Elsewhere: true}}
)

// answers is the whole answer from an event on.
func answers(from, to int) step {
	return step{reply: exchange.Reply{Status: http.StatusOK}, body: events(from, to)}
}

func events(from, to int) string {
	var out strings.Builder
	for n := from; n < to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: %d\n\n", n, n)
	}
	return out.String()
}

// breaksAfter answers so many events, and then a part of the next one.
func breaksAfter(count int) step {
	s := answers(0, count)
	s.body += fmt.Sprintf("id: %d\nda", count)
	s.broken = errors.New("reset")
	return s
}

const timeLeft = 5 * time.Second

var (
	onceRoute  = route.Route{Kind: route.Stream, Objective: 300 * time.Millisecond, Gap: 600 * time.Millisecond, MaxAttempts: 1}
	againRoute = route.Route{Kind: route.Stream, Resumable: true, Objective: 300 * time.Millisecond, Gap: 600 * time.Millisecond, MaxAttempts: 2}
)

// serve has a request served by targets that follow a script.
func serve(t *testing.T, r route.Route, f *fleet) (Outcome, *caller, time.Duration) {
	t.Helper()
	now := time.Now()
	to := &caller{}
	relay := New(Options{Targets: f, Placer: f, Logger: log.NewNopLogger()})
	outcome := relay.Serve(t.Context(), &RoutedRequest{
		Request: &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart}, Route: &r, Service: "s",
		ReceivedAt: now, Deadline: now.Add(timeLeft),
	}, to)
	return outcome, to, time.Since(now)
}

// Targets are gone, full or have been replaced. As long as each of them says, or shows,
// that it did not begin the request, it goes to the next one, never to the same again,
// whether it may be repeated or not.
func TestRequestThatDidNotRunGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{steps: []step{notSent, notRun, replaced, answers(0, 5)}}
		outcome, to, _ := serve(t, onceRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, 4, outcome.Attempts)
		require.Equal(t, 1, outcome.PossibleRuns)
		require.Equal(t, events(0, 5), to.body.String())
		require.Equal(t, []string{"t0", "t1", "t2"}, f.wants[3].Exclude)
		require.Equal(t, []placement.Result{placement.Unreachable, placement.Full, placement.Replaced, placement.Served}, f.done)
	})
}

// No target begins the request. It is refused as not run, with when to come back.
func TestRequestThatNobodyTakesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, _ := serve(t, onceRoute, &fleet{steps: []step{notRun, notRun, notRun, notSent}})
		require.Equal(t, NotTaken, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Positive(t, outcome.RetryAfter)
	})
}

// A target took the request and its connection ended. Run once more elsewhere it could
// run twice; refused with a status that promises that it did not run, its caller would
// send it again.
func TestRequestThatMayHaveRunRunsNoSecondTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{steps: []step{notRun, lost}}
		outcome, _, _ := serve(t, onceRoute, f)
		require.Equal(t, Lost, outcome.Reason)
		require.Equal(t, http.StatusBadGateway, outcome.Status)
		require.Len(t, f.sent, 2)
		require.Equal(t, placement.Broken, f.done[1])
	})
}

// A stream that may be resumed breaks off in the middle of an event. It goes on at
// another target after the last whole one; the caller gets none twice and none in part.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{steps: []step{breaksAfter(3), answers(3, 6)}}
		outcome, to, _ := serve(t, againRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, events(0, 6), to.body.String())
		require.Equal(t, 2, f.sent[1].After)
	})
}

// The same stream, but its route allows no further run, or may not be resumed. What has
// begun is cut off, so that it does not look whole.
func TestStreamThatCannotGoOnIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, to, _ := serve(t, onceRoute, &fleet{steps: []step{breaksAfter(3)}})
		require.Equal(t, CutOff, outcome.Reason)
		require.Equal(t, events(0, 3), to.body.String())

		outcome, to, _ = serve(t, againRoute, &fleet{steps: []step{breaksAfter(3), lost}})
		require.Equal(t, CutOff, outcome.Reason)
		require.Equal(t, events(0, 3), to.body.String())
	})
}

// All targets are full. The request waits for a part of its time only, so that its
// caller can still be served elsewhere.
func TestFullTargetsAreNotWaitedForToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, took := serve(t, onceRoute, &fleet{full: true})
		require.Equal(t, AllFull, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Less(t, took, timeLeft/2)
		require.Less(t, outcome.RetryAfter, (timeLeft-took)/3, "callers wait no longer than a third of what is left")
	})
}

// No target is known at all. Waiting would be of no use.
func TestUnknownTargetsAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, took := serve(t, onceRoute, &fleet{unknown: true})
		require.Equal(t, NoTarget, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Zero(t, took)
	})
}

// A target takes the request and never answers. At the caller's deadline the answer
// promises nothing, since it may have run.
func TestRequestThatHangsEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, took := serve(t, onceRoute, &fleet{steps: []step{{hangs: true}}})
		require.Equal(t, TimedOut, outcome.Reason)
		require.Equal(t, http.StatusGatewayTimeout, outcome.Status)
		require.Equal(t, timeLeft, took)
	})
}
