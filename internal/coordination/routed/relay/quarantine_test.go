package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/coordination/routed/quarantine"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// scriptedQuarantine returns decisions in their order, the last one for all further checks.
type scriptedQuarantine struct {
	decisions []quarantine.Decision
	checked   int
	began     int
	completed int
	ends      int
	lost      []quarantine.LostRequest
	left      []quarantine.LostRequest
	// undecided is the number of trials that ended without telling anything.
	undecided int
	// caughtUp are the decisions once what came during a pause is read, nil for the same.
	caughtUp []quarantine.Decision
}

func (q *scriptedQuarantine) Check(quarantine.Request) quarantine.Decision {
	if len(q.decisions) == 0 {
		return quarantine.Decision{}
	}
	q.checked++
	return q.decisions[min(q.checked, len(q.decisions))-1]
}
func (q *scriptedQuarantine) Began(quarantine.Request)     { q.began++ }
func (q *scriptedQuarantine) Completed(quarantine.Request) { q.completed++ }
func (q *scriptedQuarantine) TrialEnded(quarantine.Request, time.Duration) {
	q.undecided++
}
func (q *scriptedQuarantine) CatchUp(context.Context) {
	if q.caughtUp != nil {
		q.decisions, q.checked = q.caughtUp, 0
	}
}
func (q *scriptedQuarantine) PossibleEnds(quarantine.Request) int { return q.ends }
func (q *scriptedQuarantine) Lost(lost quarantine.LostRequest)    { q.lost = append(q.lost, lost) }
func (q *scriptedQuarantine) Left(lost quarantine.LostRequest)    { q.left = append(q.left, lost) }

// quarantine returns the quarantine of the test, one that closes nothing if it has none.
func (f *scriptedFleet) quarantine() Quarantine {
	if f.guard == nil {
		f.guard = &scriptedQuarantine{}
	}
	return f.guard
}

var (
	partOpen   = quarantine.Decision{}
	partClosed = quarantine.Decision{Closed: true, Closure: quarantine.Closure{Parts: []string{"p"}}, RetryAfter: time.Minute}
	partTrial  = quarantine.Decision{Trial: true, Closure: quarantine.Closure{Parts: []string{"p"}}}
	// crashed is a target that closes the connection before its first event.
	crashed = scriptedAnswer{reply: exchange.Reply{Status: http.StatusOK}, readErr: io.ErrUnexpectedEOF}
)

func promptRequest() *exchange.Request {
	return &exchange.Request{ID: "r", Method: http.MethodPost, After: exchange.FromStart, Prompt: exchange.Prompt{
		Parts: []exchange.PromptPart{{ID: "f", Tokens: 200}, {ID: "p", Tokens: 100}, {ID: "own", Tokens: 10}},
	}}
}

// Guards against requests with a closed part that wait for a slot, or that are told that they may
// have run.
func TestRequestWithClosedPartIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{guard: &scriptedQuarantine{decisions: []quarantine.Decision{partClosed}}}
		outcome, _, took := serveRequest(t, resumableRoute, f, promptRequest())
		require.Equal(t, PartClosed, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Equal(t, time.Minute, outcome.RetryAfter)
		require.Equal(t, []string{"p"}, outcome.Closure.Parts)
		require.Zero(t, took)
		require.Empty(t, f.requirements)
	})
}

// Guards against a request that goes to a target although its part was closed while it waited for
// a slot.
func TestPartClosedWhileRequestWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{guard: &scriptedQuarantine{decisions: []quarantine.Decision{partOpen, partClosed}}}
		outcome, _, _ := serveRequest(t, atMostOnceRoute, f, promptRequest())
		require.Equal(t, PartClosed, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
		require.Equal(t, []placement.Result{placement.Cancelled}, f.results)
		require.Empty(t, f.sent)
	})
}

// Guards against a request that goes to a target since this instance was paused, and has not read yet that others have
// closed it.
func TestRequestClosedByOthersDuringPauseGoesToNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{guard: &scriptedQuarantine{caughtUp: []quarantine.Decision{requestClosed}}}
		outcome, _, _ := serveRequest(t, atMostOnceRoute, f, promptRequest())
		require.Equal(t, RequestClosed, outcome.Reason)
		require.Equal(t, []placement.Result{placement.Cancelled}, f.results)
		require.Empty(t, f.sent)
	})
}

// Guards against a repeat at a further target once the part is closed, and against a status that
// says that the request did not run.
func TestRequestIsNotRepeatedOncePartIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{
			script: []scriptedAnswer{crashed}, guard: &scriptedQuarantine{decisions: []quarantine.Decision{partOpen, partOpen, partClosed}},
		}
		outcome, _, _ := serveRequest(t, resumableRoute, f, promptRequest())
		require.Equal(t, PartClosed, outcome.Reason)
		require.Equal(t, http.StatusBadGateway, outcome.Status)
		require.Zero(t, outcome.RetryAfter)
		require.Len(t, f.sent, 1)
	})
}

// Guards against a stream that goes on at further targets once its part is closed, and against an
// end of it that looks complete.
func TestResumedStreamWithClosedPartIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{
			script: []scriptedAnswer{truncatedAfter(3)}, guard: &scriptedQuarantine{decisions: []quarantine.Decision{partOpen, partOpen, partClosed}},
		}
		outcome, received, _ := serveRequest(t, resumableRoute, f, promptRequest())
		require.Equal(t, Truncated, outcome.Reason)
		require.Equal(t, events(0, 3), received.body.String())
		require.Len(t, f.sent, 1)

		resumed := promptRequest()
		resumed.After, resumed.Resumes = 2, "r0"
		f = &scriptedFleet{guard: &scriptedQuarantine{decisions: []quarantine.Decision{partClosed}}}
		outcome, _, _ = serveRequest(t, resumableRoute, f, resumed)
		require.Equal(t, PartClosed, outcome.Reason)
		require.Equal(t, http.StatusServiceUnavailable, outcome.Status)
	})
}

// Guards against a trial of closed parts that crashes more than one target.
func TestTrialGoesToOneTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedFleet{
			script: []scriptedAnswer{crashed}, guard: &scriptedQuarantine{decisions: []quarantine.Decision{partTrial, partClosed}},
		}
		outcome, _, _ := serveRequest(t, resumableRoute, f, promptRequest())
		require.Equal(t, http.StatusBadGateway, outcome.Status)
		require.Len(t, f.sent, 1)
	})
}

// Guards against a request that stays closed until the claim of its trial lapses, since the trial went to no target,
// and against a further trial after one that was answered or lost its target.
func TestTrialThatTellsNothingIsGivenBack(t *testing.T) {
	for name, c := range map[string]struct {
		fleet     scriptedFleet
		undecided int
	}{
		"no free slot": {scriptedFleet{noFreeSlot: true}, 1},
		"not sent":     {scriptedFleet{script: []scriptedAnswer{unreachable}}, 1},
		"not run":      {scriptedFleet{script: []scriptedAnswer{notRun}}, 1},
		"silent":       {scriptedFleet{script: []scriptedAnswer{{neverAnswers: true}}}, 1},
		"answered":     {scriptedFleet{script: []scriptedAnswer{streamOf(0, 2)}}, 0},
		"lost":         {scriptedFleet{script: []scriptedAnswer{crashed}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &c.fleet
				f.guard = &scriptedQuarantine{decisions: []quarantine.Decision{partTrial, partClosed}}
				serveRequest(t, atMostOnceRoute, f, promptRequest())
				require.Equal(t, c.undecided, f.guard.undecided)
			})
		})
	}
}

// Guards against lost answers that count as evidence although events came before, this instance
// ended the exchange, or nothing was sent, and against parts that count as suspects though an
// answer began.
func TestOnlyRequestsLostBeforeTheirFirstEventAreReported(t *testing.T) {
	reset := scriptedAnswer{err: fmt.Errorf("%w: %w", external.ErrMayHaveRun, syscall.ECONNRESET)}
	for name, c := range map[string]struct {
		script      []scriptedAnswer
		route       route.Route
		lost, began int
	}{
		"closed after the head":   {[]scriptedAnswer{crashed}, atMostOnceRoute, 1, 0},
		"reset before the head":   {[]scriptedAnswer{reset}, atMostOnceRoute, 1, 0},
		"both targets":            {[]scriptedAnswer{crashed, reset}, resumableRoute, 2, 0},
		"after events":            {[]scriptedAnswer{truncatedAfter(2)}, atMostOnceRoute, 0, 1},
		"rejected, then answered": {[]scriptedAnswer{unreachable, notRun, streamOf(0, 2)}, atMostOnceRoute, 0, 1},
		"silent":                  {[]scriptedAnswer{{neverAnswers: true}}, atMostOnceRoute, 0, 0},
		"status without events":   {[]scriptedAnswer{{reply: exchange.Reply{Status: http.StatusInternalServerError}, body: "x"}}, atMostOnceRoute, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{script: c.script}
				serveRequest(t, c.route, f, promptRequest())
				require.Len(t, f.guard.lost, c.lost)
				require.GreaterOrEqual(t, f.guard.began, c.began)
				if c.began == 0 {
					require.Zero(t, f.guard.began)
				}
				for _, lost := range f.guard.lost {
					require.Equal(t, []string{"f", "p"}, lost.Parts)
				}
			})
		})
	}
}

// Guards against a stream without length or chunks that counts as complete although it ended within
// an event or before its first one, or that is cut although it is whole.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	ended := func(body string) scriptedAnswer {
		return scriptedAnswer{reply: exchange.Reply{Status: http.StatusOK, EndsWithConnection: true}, body: body}
	}
	within := events(0, 3) + "id: 3\nda"
	for name, c := range map[string]struct {
		script []scriptedAnswer
		route  route.Route
		reason Reason
		body   string
	}{
		"whole":                     {[]scriptedAnswer{ended(events(0, 5))}, atMostOnceRoute, Relayed, events(0, 5)},
		"within an event":           {[]scriptedAnswer{ended(within)}, atMostOnceRoute, Truncated, events(0, 3)},
		"within an event, resumed":  {[]scriptedAnswer{ended(within), streamOf(3, 5)}, resumableRoute, Relayed, events(0, 5)},
		"within the line end":       {[]scriptedAnswer{ended(strings.TrimSuffix(events(0, 3), "\n"))}, atMostOnceRoute, Truncated, events(0, 2)},
		"before the first event":    {[]scriptedAnswer{ended("")}, atMostOnceRoute, AnswerLost, ""},
		"before the first, resumed": {[]scriptedAnswer{ended(""), streamOf(0, 5)}, resumableRoute, Relayed, events(0, 5)},
		"resumed without an event":  {[]scriptedAnswer{truncatedAfter(3), ended("")}, resumableRoute, Truncated, events(0, 3)},
		"chunked without an event":  {[]scriptedAnswer{streamOf(0, 0)}, atMostOnceRoute, Relayed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{script: c.script}
				outcome, received, _ := serveRequest(t, c.route, f, promptRequest())
				require.Equal(t, c.reason, outcome.Reason)
				require.Equal(t, c.body, received.body.String())
			})
		})
	}
}

var requestClosed = quarantine.Decision{Closed: true, Closure: quarantine.Closure{Parts: []string{"request:1"}}, RetryAfter: time.Minute}

// Guards against a request that goes to a further target before it is known whether the last one ended,
// although it may have ended as many as it may, and against others that wait for that.
func TestRequestWaitsForCheckOfThirdTarget(t *testing.T) {
	for ends, want := range map[int]time.Duration{0: 0, 1: 0, 2: quarantine.EndKnownAfter} {
		for _, decisions := range [][]quarantine.Decision{{partOpen}, {partOpen, partOpen, requestClosed}} {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{guard: &scriptedQuarantine{ends: ends, decisions: decisions}, script: []scriptedAnswer{crashed, streamOf(0, 2)}}
				outcome, _, took := serveRequest(t, resumableRoute, f, promptRequest())
				require.Equal(t, want, took, "%d ended before", ends)
				if len(decisions) == 1 {
					require.Equal(t, Relayed, outcome.Reason)
					return
				}
				require.Equal(t, 1, outcome.PossibleRuns)
				require.Equal(t, RequestClosed, outcome.Reason)
				require.Equal(t, http.StatusBadGateway, outcome.Status)
			})
		}
	}
}

// Guards against an answer that is complete and does not acquit its request, and against one that is not
// and does.
func TestOnlyWholeAnswersAcquitTheirRequest(t *testing.T) {
	for completed, script := range map[int][]scriptedAnswer{1: {streamOf(0, 5)}, 0: {truncatedAfter(2)}} {
		synctest.Test(t, func(t *testing.T) {
			f := &scriptedFleet{script: script}
			serveRequest(t, atMostOnceRoute, f, promptRequest())
			require.Equal(t, completed, f.guard.completed)
		})
	}
}

// Guards against suspended parts that are not tried, since the request that may do so is rejected, and against one that
// goes to a target before other instances have told that they try the parts as well.
func TestRequestThatClaimsATrialWaitsForIt(t *testing.T) {
	claimed := partClosed
	claimed.Claimed = true
	for name, then := range map[string]quarantine.Decision{"its trial": partTrial, "that of another instance": partClosed, "open by then": partOpen} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedFleet{script: []scriptedAnswer{streamOf(0, 2)}, guard: &scriptedQuarantine{decisions: []quarantine.Decision{claimed, then}}}
				outcome, _, took := serveRequest(t, atMostOnceRoute, f, promptRequest())
				require.GreaterOrEqual(t, took, quarantine.SuspendedClaimTime)
				require.Equal(t, !then.Closed, len(f.sent) > 0)
				require.Equal(t, then.Closed, outcome.Reason == PartClosed)
			})
		})
	}
}
