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

// callSteps are the rows of the fault matrix for non-idempotent calls.
var callSteps = []callStep{
	{name: "reserve", at: atReserve, excluded: map[fault]string{targetDown: noTarget, retentionExpired: noInput}},
	{name: "reserve-read-back", at: atAcknowledge, excluded: map[fault]string{targetDown: noTarget, retentionExpired: noInput}},
	{name: "call-dispatch", at: atDispatch, excluded: map[fault]string{duplicate: noDuplicate, retentionExpired: noInput}},
	{name: "call-answer", at: atAnswer, excluded: map[fault]string{retentionExpired: noInput}},
	{name: "answer-append", at: atStore, excluded: map[fault]string{targetDown: noTarget, retentionExpired: noInput}},
	{name: "outcome", at: atOutcome, excluded: map[fault]string{targetDown: noTarget}},
	{name: "answer-deliver", at: atDeliver, excluded: map[fault]string{targetDown: noTarget}},
}

const noDuplicate = "a connection does not deliver a request twice; a second send is a resend, which the reserve step covers"

type callStep struct {
	name     string
	at       point
	excluded map[fault]string
}

// Each cell sends one non-idempotent call and resends it through other instances
// until it has a final answer. One fault is injected into one instance at one
// step. The checks detect a call that ran twice, and a call that ran although it
// was rejected as not run.
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
	if notApplicable(t, s.name, s.excluded, f) {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		wrong, end := s.runWithFault(t, f, variant{})
		for _, violation := range wrong {
			t.Error(violation)
		}
		if len(wrong) == 0 {
			t.Logf("matrix step=%s fault=%s result=held reason=%q", s.name, f, "ended as "+end)
		}
	})
}

func (s callStep) runWithFault(t *testing.T, f fault, broken variant) (wrong []string, end string) {
	p := newInjection(s.at, f, true)
	tf := newTestFleet(t, nodes, broken, p)
	v := &violations{}
	end = tf.runCall(v)
	if !p.wasTriggered() {
		v.add("the fault was not injected")
	}
	return v.messages, end
}

// Final outcomes of a call.
const (
	endAnswered = "answered"
	endUnknown  = "unknown"
	endGone     = "gone"
)

const callName = "swap"

// runCall makes a call until it has a final answer, and makes it again after the
// longest pause and outage. It returns the first outcome.
func (tf *testFleet) runCall(v *violations) string {
	c := &callClient{client: newClient(tf)}
	if tf.injects(interleaved) {
		other := &callClient{client: newClient(tf), firstAttempt: maxAttempts}
		other.next = 1
		tf.background.Go(func() { other.call(v) })
	}
	end := c.call(v)
	<-time.After(pauseTime + outageTime)
	again := c.call(v)
	// An unknown outcome may become known when a paused instance resumes. An
	// answer stays available unless the log's retention deleted it.
	if end == endAnswered && again != endAnswered && !(again == endGone && tf.injects(retentionExpired)) {
		v.add("the call was answered, and %s when it was made again", again)
	}
	tf.checkRuns(v, c, end)
	return end
}

// checkRuns checks that the call ran at most once, exactly once if it was
// answered, and never for an attempt that was rejected as not run.
func (tf *testFleet) checkRuns(v *violations, c *callClient, end string) {
	total := 0
	for try := range 3 * maxAttempts {
		name := fmt.Sprintf("%s#%d", callName, try)
		count := tf.targets.count(name)
		total += count
		if count > 0 && c.notRun[fmt.Sprint(try)] {
			v.add("attempt %d ran and was rejected as not run", try)
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
	// firstAttempt is the number of the client's first attempt, attempts the
	// number of attempts so far.
	firstAttempt, attempts int
}

type onceAnswer struct {
	answer  online.Response
	refusal *protocol.Refusal
}

// call makes the call until it has a final answer.
func (c *callClient) call(v *violations) string {
	request := online.AtMostOnceCall{Key: protocol.CallKey{Organisation: cascadia, Key: callName}, BodyHash: 7}
	for range maxAttempts {
		try := c.firstAttempt + c.attempts
		c.attempts++
		n := c.nextInstance()
		n.delivering.Store(true)
		got, ok := sendRequest(n, func(ctx context.Context) onceAnswer {
			answer, refusal := n.caller.CallAtMostOnce(ctx, request, n.dispatch(fmt.Sprintf("%s#%d", callName, try)))
			return onceAnswer{answer, refusal}
		})
		n.delivering.Store(false)
		if end := c.classify(v, got, ok, try); end != "" {
			return end
		}
		c.pause(got.refusal)
	}
	v.add("no final answer after %d attempts", maxAttempts)
	return ""
}

// classify returns the outcome of the call, or "" if the client is to try again.
func (c *callClient) classify(v *violations, got onceAnswer, ok bool, try int) string {
	if !ok {
		return ""
	}
	c.recordRefusal(true, got.refusal, fmt.Sprint(try))
	switch {
	case got.refusal == nil:
		if string(got.answer.Body) != "swapped" {
			v.add("answer of another call: %q", got.answer.Body)
		}
		return endAnswered
	case got.refusal.Code == protocol.CodeOutcomeUnknown:
		return endUnknown
	case got.refusal.Code == protocol.CodeGone:
		return endGone
	case got.refusal.RetryAfter == 0:
		v.add("rejected without a retry time: %v", got.refusal)
		return ""
	}
	return ""
}

var errNoAnswer = errors.New("connection broke")

// dispatch returns a function that sends the call to a target, where the call
// takes 500 ms.
func (n *node) dispatch(name string) online.Dispatch {
	return func(_ context.Context, _ protocol.CallID) (online.Response, error) {
		n.link.awaitRunning()
		refused := false
		if !n.inject(func() { refused = n.alive() && !n.fleet.targets.begin(name) }, atDispatch) {
			return online.Response{}, &external.CallError{Run: protocol.MayHaveRun, Err: errNoAnswer}
		}
		if refused {
			return online.Response{}, &external.CallError{Run: protocol.NotRun, Err: errNoAnswer}
		}
		<-time.After(500 * time.Millisecond)
		n.link.awaitRunning()
		if !n.inject(func() {}, atAnswer) || n.fleet.targets.failing(name) {
			return online.Response{}, &external.CallError{Run: protocol.MayHaveRun, Err: errNoAnswer}
		}
		return online.Response{Status: 200, Body: []byte("swapped")}, nil
	}
}
