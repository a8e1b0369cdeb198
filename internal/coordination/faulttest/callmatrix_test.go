package faulttest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// callSteps are the rows of calls that may not be repeated.
var callSteps = []callStep{
	{name: "reserve", at: atReserve, none: map[fault]string{targetDead: noTarget, trimmed: noInput}},
	{name: "reserve-read-back", at: atAcknowledge, none: map[fault]string{targetDead: noTarget, trimmed: noInput}},
	{name: "call-dispatch", at: atDispatch, none: map[fault]string{duplicate: noDouble, trimmed: noInput}},
	{name: "call-answer", at: atAnswer, none: map[fault]string{trimmed: noInput}},
	{name: "answer-append", at: atStore, none: map[fault]string{targetDead: noTarget, trimmed: noInput}},
	{name: "outcome", at: atOutcome, none: map[fault]string{targetDead: noTarget}},
	{name: "answer-deliver", at: atDeliver, none: map[fault]string{targetDead: noTarget}},
}

const noDouble = "a connection does not deliver a request twice; a second send is a resend, which the reserve step covers"

type callStep struct {
	name string
	at   point
	none map[fault]string
}

// Each cell sends one call that may not be repeated, again and again through
// other instances until it has a final answer, and strikes one instance at one
// step. A caller would notice a swap made twice, or being told that a call did
// not run when it did.
func TestMatrixCall(t *testing.T) {
	for _, s := range callSteps {
		t.Run(s.name, func(t *testing.T) {
			for _, f := range matrixFaults {
				t.Run(string(f), func(t *testing.T) {
					t.Parallel()
					s.cell(t, f)
				})
			}
		})
	}
}

func (s callStep) cell(t *testing.T, f fault) {
	if notApplicable(t, s.name, s.none, f) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		wrong, end := s.strike(t, f, variant{})
		for _, sentence := range wrong {
			t.Error(sentence)
		}
		if len(wrong) == 0 {
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f, "ended as "+end)
		}
	})
}

func (s callStep) strike(t *testing.T, f fault, broken variant) (wrong []string, end string) {
	p := newPlan(s.at, f, true)
	w := newWorld(t, nodes, broken, p)
	v := &verdicts{}
	end = w.runCall(v)
	if !p.happened() {
		v.add("the fault did not strike")
	}
	return v.wrong, end
}

// The ends of a call.
const (
	endAnswered = "answered"
	endUnknown  = "unknown"
	endGone     = "gone"
)

const swap = "swap"

// runCall makes a call until it has a final answer, and once more later.
func (w *world) runCall(v *verdicts) string {
	c := &callClient{client: newClient(w)}
	if w.planned(crossed) {
		other := &callClient{client: newClient(w), first: maxTries}
		other.next = 1
		w.background.Go(func() { other.call(v) })
	}
	end := c.call(v)
	<-time.After(pauseTime + outageTime)
	again := c.call(v)
	// An unknown outcome may become known when a paused instance goes on. An
	// answer stays, unless it was lost with the log's retention.
	if end == endAnswered && again != endAnswered && !(again == endGone && w.planned(trimmed)) {
		v.add("the call was answered, and later %s", again)
	}
	w.checkRuns(v, c, end)
	return end
}

// checkRuns: at most one run whatever happened, one if there was an answer,
// and none of an attempt that was refused as not run.
func (w *world) checkRuns(v *verdicts, c *callClient, end string) {
	total := 0
	for try := range 3 * maxTries {
		name := fmt.Sprintf("%s#%d", swap, try)
		count := w.targets.count(name)
		total += count
		if count > 0 && c.notRun[fmt.Sprint(try)] {
			v.add("attempt %d ran and was refused as not run", try)
		}
	}
	if total > 1 {
		v.add("the call ran %d times", total)
	}
	if end == endAnswered && total != 1 {
		v.add("the call was answered and ran %d times", total)
	}
}

type callClient struct {
	*client
	// first is the number of the client's first attempt.
	first, tries int
}

type onceAnswer struct {
	answer  online.Response
	refusal *protocol.Refusal
}

// call makes the call until it has a final answer.
func (c *callClient) call(v *verdicts) string {
	request := online.AtMostOnceCall{Key: protocol.CallKey{Organisation: cascadia, Key: swap}, BodyHash: 7}
	for range maxTries {
		try := c.first + c.tries
		c.tries++
		n := c.turn()
		n.delivering.Store(true)
		got, ok := ask(n, func(ctx context.Context) onceAnswer {
			answer, refusal := n.caller.CallAtMostOnce(ctx, request, n.dispatch(fmt.Sprintf("%s#%d", swap, try)))
			return onceAnswer{answer, refusal}
		})
		n.delivering.Store(false)
		if end := c.judge(v, got, ok, try); end != "" {
			return end
		}
		c.pause(got.refusal)
	}
	v.add("no final answer after %d tries", maxTries)
	return ""
}

// judge returns how the call ended, "" if the client goes on.
func (c *callClient) judge(v *verdicts, got onceAnswer, ok bool, try int) string {
	if !ok {
		return ""
	}
	c.refused(true, got.refusal, fmt.Sprint(try))
	switch {
	case got.refusal == nil:
		if string(got.answer.Body) != "swapped" {
			v.add("foreign answer %q", got.answer.Body)
		}
		return endAnswered
	case got.refusal.Code == protocol.CodeOutcomeUnknown:
		return endUnknown
	case got.refusal.Code == protocol.CodeGone:
		return endGone
	case got.refusal.RetryAfter == 0:
		v.add("refused for good: %v", got.refusal)
		return ""
	}
	return ""
}

var errNoAnswer = errors.New("connection broke")

// dispatch sends the call to a target, at which it takes half a second.
func (n *node) dispatch(name string) online.Dispatch {
	return func(_ context.Context, _ protocol.CallID) (online.Response, error) {
		n.link.pass()
		refused := false
		if !n.strike(func() { refused = n.alive() && !n.world.targets.begin(name) }, atDispatch) {
			return online.Response{}, &external.CallError{Run: protocol.MayHaveRun, Err: errNoAnswer}
		}
		if refused {
			return online.Response{}, &external.CallError{Run: protocol.NotRun, Err: errNoAnswer}
		}
		<-time.After(500 * time.Millisecond)
		n.link.pass()
		if !n.strike(func() {}, atAnswer) || n.world.targets.failing(name) {
			return online.Response{}, &external.CallError{Run: protocol.MayHaveRun, Err: errNoAnswer}
		}
		return online.Response{Status: 200, Body: []byte("swapped")}, nil
	}
}
