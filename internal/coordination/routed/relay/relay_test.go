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

	"merlintiller/internal/coordination/routed/origin"
	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
	"merlintiller/internal/state/route"
)

// scriptedAnswer is how one target reacts to a request.
type scriptedAnswer struct {
	// err is returned by Send.
	err error
	// reply is the head of the answer, body its complete body, readErr the error
	// after the body, nil for io.EOF.
	reply   exchange.Reply
	body    string
	readErr error
	// neverAnswers makes Send wait until its context ends.
	neverAnswers bool
}

// scriptedFleet is the Placer and the Sender of a test. Its targets react as listed
// in script, in the order in which they are chosen.
type scriptedFleet struct {
	script       []scriptedAnswer
	sent         []exchange.Dispatch
	requirements []placement.Requirements
	results      []placement.Result
	// noFreeSlot makes Place wait in vain, noTargets makes it fail at once.
	noFreeSlot, noTargets bool
	// versions are the software versions of the chosen targets, in their order. The last one
	// is that of all further targets. Empty: v1.
	versions []string
	// left is the id of a target that has left since it was chosen.
	left string
	// reserved is the target that TryPlace returns, if set.
	reserved *roster.Target
	// reservedFor are the limits of the last TryPlace.
	reservedFor placement.WaitLimits
	// origins are the streams that have begun, and what is known about their beginning.
	origins map[string]origin.Origin
	// receivedAtBegin is what the caller had received when a stream began.
	receivedAtBegin *caller
	beganUnseen     bool
	guard           *scriptedQuarantine
}

// Began implements Origins.
func (f *scriptedFleet) Began(_, stream, version string) {
	if f.origins == nil {
		f.origins = map[string]origin.Origin{}
	}
	f.origins[stream] = origin.Origin{Version: version, Source: origin.Own}
	f.beganUnseen = f.receivedAtBegin == nil || f.receivedAtBegin.body.Len() == 0
}

// Find implements Origins.
func (f *scriptedFleet) Find(_ context.Context, _, stream string) origin.Origin {
	if known, ok := f.origins[stream]; ok {
		return known
	}
	return origin.Origin{Source: origin.Unknown}
}

// version returns the software version of the target with a number.
func (f *scriptedFleet) version(number int) string {
	if len(f.versions) == 0 {
		return "v1"
	}
	return f.versions[min(number, len(f.versions)-1)]
}

func (f *scriptedFleet) Send(ctx context.Context, _ string, d *exchange.Dispatch) (external.OpenAnswer, error) {
	s := f.script[len(f.sent)]
	f.sent = append(f.sent, *d)
	if s.neverAnswers {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", external.ErrMayHaveRun, ctx.Err())
	}
	if s.err != nil {
		return nil, s.err
	}
	return &answerReader{head: s.reply, body: strings.NewReader(s.body), readErr: s.readErr}, nil
}

func (f *scriptedFleet) Forget(string) {}

func (f *scriptedFleet) Place(ctx context.Context, want placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	f.requirements = append(f.requirements, want)
	if f.noTargets {
		return placement.Choice{}, false
	}
	if f.noFreeSlot {
		timer := time.NewTimer(time.Until(limits.Deadline))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return placement.Choice{}, false
	}
	number := len(f.requirements) - 1
	id := fmt.Sprint("t", number)
	return placement.Choice{Target: roster.Target{ID: id, Address: id + ":1", Version: f.version(number)}}, true
}

func (f *scriptedFleet) TryPlace(_ context.Context, _ placement.Requirements, limits placement.WaitLimits) (placement.Choice, bool) {
	f.reservedFor = limits
	if f.reserved == nil {
		return placement.Choice{}, false
	}
	return placement.Choice{Target: *f.reserved}, true
}
func (f *scriptedFleet) DataReceived(string)                                {}
func (f *scriptedFleet) Observe(placement.Choice, pace.Kind, time.Duration) {}
func (f *scriptedFleet) Done(_ placement.Choice, result placement.Result) {
	f.results = append(f.results, result)
}
func (f *scriptedFleet) ReportLoad(placement.Choice, *exchange.Load)   {}
func (f *scriptedFleet) HasLeft(choice placement.Choice) bool          { return choice.ID == f.left }
func (f *scriptedFleet) HasTargets(placement.Requirements) bool        { return !f.noTargets }
func (f *scriptedFleet) MarkStalled(placement.Choice) (resumed func()) { return nil }

// answerReader is the answer of one scripted target.
type answerReader struct {
	head    exchange.Reply
	body    io.Reader
	readErr error
}

func (s *answerReader) Head() *exchange.Reply { return &s.head }
func (s *answerReader) Close()                {}
func (s *answerReader) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) && s.readErr != nil {
		err = s.readErr
	}
	return n, err
}

// caller is a Sink that records the answer.
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
	unreachable    = scriptedAnswer{err: fmt.Errorf("%w: refused", external.ErrNotSent)}
	connectionLost = scriptedAnswer{err: fmt.Errorf("%w: reset", external.ErrMayHaveRun)}
	notRun         = scriptedAnswer{reply: exchange.Reply{Status: http.StatusServiceUnavailable, NotRun: true}}
	replaced       = scriptedAnswer{reply: exchange.Reply{Status: http.StatusMisdirectedRequest, NotRun: true, WrongTarget: true}}
)

// streamOf is a complete stream of the events from up to, but not including, to.
func streamOf(from, to int) scriptedAnswer {
	return scriptedAnswer{reply: exchange.Reply{Status: http.StatusOK}, body: events(from, to)}
}

// events returns the body of such a stream.
func events(from, to int) string {
	var out strings.Builder
	for n := from; n < to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: %d\n\n", n, n)
	}
	return out.String()
}

// truncatedAfter is a stream that breaks off within the event after the first count
// events.
func truncatedAfter(count int) scriptedAnswer {
	s := streamOf(0, count)
	s.body += fmt.Sprintf("id: %d\nda", count)
	s.readErr = errors.New("reset")
	return s
}

const requestTime = 5 * time.Second

var (
	atMostOnceRoute = route.Route{Kind: route.Stream, LatencyObjective: 300 * time.Millisecond, GapObjective: 600 * time.Millisecond, MaxAttempts: 1}
	resumableRoute  = route.Route{Kind: route.Stream, Resumable: true, LatencyObjective: 300 * time.Millisecond, GapObjective: 600 * time.Millisecond, MaxAttempts: 2}
)

// serve has a Relay serve a request with the targets of f. It returns the outcome,
// what the caller received and the time that passed.
func serve(t *testing.T, r route.Route, f *scriptedFleet) (Outcome, *caller, time.Duration) {
	t.Helper()
	return serveRequest(t, r, f, &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart})
}

// serveRequest is serve for a given request.
func serveRequest(t *testing.T, r route.Route, f *scriptedFleet, request *exchange.Request) (Outcome, *caller, time.Duration) {
	t.Helper()
	now := time.Now()
	received := &caller{}
	f.receivedAtBegin = received
	relay := New(Options{Targets: f, Placer: f, Origins: f, Quarantine: f.quarantine(), Logger: log.NewNopLogger()})
	outcome := relay.Serve(t.Context(), &RoutedRequest{
		Request: request, Route: &r, Service: "s", ReceivedAt: now, Deadline: now.Add(requestTime),
	}, received)
	return outcome, received, time.Since(now)
}

// Guards against a request that fails, or returns to the same target, although no
// target ran it: the first three targets are down, full and replaced. The request
// then goes to the next target, also if it is not idempotent.
func TestUnstartedRequestIsRetriedAtOtherTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{unreachable, notRun, replaced, streamOf(0, 5)}}
		outcome, received, _ := serve(t, atMostOnceRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, 4, outcome.Attempts)
		require.Equal(t, 1, outcome.PossibleRuns)
		require.Equal(t, events(0, 5), received.body.String())
		require.Equal(t, []string{"t0", "t1", "t2"}, f.requirements[3].Exclude)
		require.Equal(t, []placement.Result{placement.Unreachable, placement.Full, placement.Replaced, placement.Served}, f.results)
	})
}

// Guards against a request that is rejected although targets have free slots: more targets than
// are tried for one request were replaced while the list could not be read.
func TestReplacedTargetsDoNotUseUpAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{replaced, replaced, notRun, replaced, replaced, replaced, unreachable, streamOf(0, 5)}}
		outcome, received, _ := serve(t, atMostOnceRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, events(0, 5), received.body.String())
	})
}

// Guards against a status that leaves open whether the request ran, or that lacks a
// Retry-After, when no target ran the request.
func TestRequestRejectedByAllTargetsFailsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, _ := serve(t, atMostOnceRoute, &scriptedFleet{script: []scriptedAnswer{notRun, notRun, notRun, unreachable}})
		require.Equal(t, NotAccepted, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Positive(t, outcome.RetryAfter)
	})
}

// Guards against a request that is not idempotent and runs twice: the connection is
// lost after a target took the request. A retry at another target could run it again,
// and after a status that promises that it did not run, the caller would send it again.
func TestNonIdempotentRequestIsNotRetriedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{notRun, connectionLost}}
		outcome, _, _ := serve(t, atMostOnceRoute, f)
		require.Equal(t, AnswerLost, outcome.Reason)
		require.Equal(t, http.StatusBadGateway, outcome.Status)
		require.Len(t, f.sent, 2)
		require.Equal(t, placement.Broken, f.results[1])
	})
}

// Guards against duplicate or partial events: a resumable stream breaks off in the
// middle of an event and resumes at another target after the last complete event.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{truncatedAfter(3), streamOf(3, 6)}}
		outcome, received, _ := serve(t, resumableRoute, f)
		require.Equal(t, Relayed, outcome.Reason)
		require.Equal(t, events(0, 6), received.body.String())
		require.Equal(t, 2, f.sent[1].After)
	})
}

// Guards against a partial answer that looks complete: a stream breaks off, and its
// route is not resumable or allows no further run.
func TestStreamThatCannotResumeIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, received, _ := serve(t, atMostOnceRoute, &scriptedFleet{script: []scriptedAnswer{truncatedAfter(3)}})
		require.Equal(t, Truncated, outcome.Reason)
		require.Equal(t, events(0, 3), received.body.String())

		outcome, received, _ = serve(t, resumableRoute, &scriptedFleet{script: []scriptedAnswer{truncatedAfter(3), connectionLost}})
		require.Equal(t, Truncated, outcome.Reason)
		require.Equal(t, events(0, 3), received.body.String())
	})
}

// Guards against a request that waits for a free slot until its deadline while all
// targets are full. The caller needs time to retry at another instance.
func TestWaitForFreeSlotEndsBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, elapsed := serve(t, atMostOnceRoute, &scriptedFleet{noFreeSlot: true})
		require.Equal(t, AllFull, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Less(t, elapsed, requestTime/2)
		require.Less(t, outcome.RetryAfter, (requestTime-elapsed)/3, "a caller waits for at most a third of the remaining time before it retries")
	})
}

// Guards against waiting for a slot when the service has no known target.
func TestRequestFailsAtOnceWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, elapsed := serve(t, atMostOnceRoute, &scriptedFleet{noTargets: true})
		require.Equal(t, NoTarget, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Zero(t, elapsed)
	})
}

// Guards against a status that promises that the request did not run: a target takes
// the request and does not answer before the caller's deadline.
func TestUnansweredRequestTimesOutAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome, _, elapsed := serve(t, atMostOnceRoute, &scriptedFleet{script: []scriptedAnswer{{neverAnswers: true}}})
		require.Equal(t, TimedOut, outcome.Reason)
		require.Equal(t, http.StatusGatewayTimeout, outcome.Status)
		require.Equal(t, requestTime, elapsed)
	})
}

// Guards against an answer made of two runs: a body without event numbers breaks off after its head
// was sent, and the answer of another run can't be joined to what the caller has.
func TestBodyThatBreaksOffAfterItsHeadIsNotRunAgain(t *testing.T) {
	idempotent := route.Route{Kind: route.Idempotent, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 2}
	large := strings.Repeat("x", 2*maxBufferedAnswer)
	broken := scriptedAnswer{reply: exchange.Reply{Status: http.StatusOK}, body: large, readErr: errors.New("reset")}
	whole := scriptedAnswer{reply: exchange.Reply{Status: http.StatusOK}, body: large}
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{script: []scriptedAnswer{broken, whole}}
		outcome, received, _ := serve(t, idempotent, f)
		require.Equal(t, Truncated, outcome.Reason)
		require.Len(t, f.sent, 1)
		require.LessOrEqual(t, received.body.Len(), len(large))
	})
}
