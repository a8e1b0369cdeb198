package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/targethttp"
)

// defect removes a decision of the code on purpose. The zero value is the unchanged
// code.
type defect struct {
	// skipEchoCheck accepts every response without comparing the echoed call ID.
	skipEchoCheck bool
	// retryLostAnswer sends a call again when its response is lost.
	retryLostAnswer bool
}

// defectiveTarget is a target client with a defect.
type defectiveTarget struct {
	*targethttp.Client
	defect defect
}

func (t *defectiveTarget) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	if t.defect.skipEchoCheck {
		return doWithoutEchoCheck(ctx, address, call)
	}
	answer, err := t.Client.Do(ctx, address, call)
	if err != nil && t.defect.retryLostAnswer {
		return t.Client.Do(ctx, address, call)
	}
	return answer, err
}

// doWithoutEchoCheck makes a call without checking the echoed call ID.
func doWithoutEchoCheck(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &external.CallError{Run: protocol.NotRun, Err: err}
	}
	req.Header = call.Header.Clone()
	req.Header.Set("X-Call-Id", string(call.ID))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, &external.CallError{Run: protocol.MayHaveRun, Err: err}
	}
	return &external.Answer{EchoedID: call.ID, Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func newDefectiveSystem(t testing.TB, d defect, opts systemOptions) *system {
	if d != (defect{}) {
		opts.target = &defectiveTarget{Client: targethttp.New(targethttp.Options{}), defect: d}
	}
	return newSystem(t, opts)
}

// reply is the response that a caller received.
type reply struct {
	status  int
	header  http.Header
	closed  bool
	body    string
	err     error
	refusal errorDetail
}

// checkRefusal checks the code and the run state of an error response.
func (r reply) checkRefusal(code protocol.Code, run protocol.RunState) error {
	if r.refusal.Code != code || r.refusal.RunState != run {
		return fmt.Errorf("got %d %q (%s), wanted %s (%s): %v", r.status, r.refusal.Code, r.refusal.RunState, code, run, r.err)
	}
	return nil
}

// call sends one request and reads the response to its end.
func (s *system) call(ctx context.Context, path, body string, header http.Header) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+testSecret)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, header: resp.Header, closed: resp.Close, body: string(data), err: err}
	var failed errorBody
	if json.Unmarshal(data, &failed) == nil {
		out.refusal = failed.Error
	}
	return out
}

// checkChat requests a non-streamed response and checks its text.
func (s *system) checkChat(question string) error {
	got := s.call(context.Background(), testPath, chatBody(question, false), nil)
	return got.checkAnswer(question)
}

// checkAnswer checks that r is the complete response to question.
func (r reply) checkAnswer(question string) error {
	if r.err != nil || r.status != http.StatusOK {
		return fmt.Errorf("status %d, %s %s: %v", r.status, r.refusal.Code, r.refusal.Message, r.err)
	}
	if !strings.Contains(r.body, target.Text(target.ChatText(question), answerTokens)) {
		return fmt.Errorf("not the complete response to %q: %s", question, r.body)
	}
	return nil
}

// checkChatStream requests a stream and checks that its text is complete and belongs
// to question.
func (s *system) checkChatStream(question string, opts ...option.RequestOption) error {
	text, err := s.streamText(question, opts...)
	if err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	if want := target.Text(target.ChatText(question), answerTokens); text != want {
		return fmt.Errorf("got %q, wanted %q", text, want)
	}
	return nil
}

// errTruncationHidden reports that an incomplete response looked complete.
var errTruncationHidden = errors.New("an incomplete response looked complete")

// checkStreamFails checks that a stream ends with an error and that the text before
// the error is a prefix of the expected text.
func (s *system) checkStreamFails(question string) error {
	text, err := s.streamText(question)
	if err == nil {
		return errTruncationHidden
	}
	if !strings.HasPrefix(target.Text(target.ChatText(question), answerTokens), text) {
		return fmt.Errorf("the text is not a prefix of the expected text: %q", text)
	}
	return nil
}

const plainPath = "/v1/services/code-lookup/nfpa/25"

// plainCall makes a call that is not idempotent.
func (s *system) plainCall(body string, header http.Header) reply {
	return s.call(context.Background(), plainPath, body, header)
}

// executions returns how often the plain call with the given body ran.
func (s *system) executions(body string) int {
	return s.plain.Counted().ByBody[target.BodyKey([]byte(body))]
}

// checkExecutions checks how often the plain call with the given body ran.
func (s *system) checkExecutions(body string, want int) error {
	if got := s.executions(body); got != want {
		return fmt.Errorf("the call ran %d times, wanted %d", got, want)
	}
	return nil
}

// eventually waits until ok returns true. It fails after testTimeout.
func eventually(what string, ok func() bool) error {
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-limit.C:
			return fmt.Errorf("condition not reached: %s", what)
		}
	}
	return nil
}

// runConcurrently runs calls concurrently and joins their errors.
func runConcurrently(calls ...func() error) error {
	results := make(chan error)
	for _, call := range calls {
		go func() { results <- call() }()
	}
	var all error
	for range calls {
		all = errors.Join(all, <-results)
	}
	return all
}

// startCall runs call in a goroutine. The returned channel receives its result.
func startCall(call func() error) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- call() }()
	return ended
}

// waitStreamsHeld waits until n streams are in flight at the targets.
func (s *system) waitStreamsHeld(n int) error {
	return eventually("streams held at the targets", func() bool { return s.inFlightAtTargets() == n })
}

// updateFleet replaces the configuration in force by an edited copy of the test
// configuration.
func (s *system) updateFleet(edit func(*protocol.Fleet)) {
	fleet := testFleet()
	edit(fleet)
	s.fleet.Store(fleet)
}

func withdrawKey(fleet *protocol.Fleet) {
	key := fleet.Keys[testKey]
	key.Withdrawn = true
	fleet.Keys[testKey] = key
}

// shortPolicy has short timeouts, so that tests detect frozen targets quickly. The
// timeouts are long enough for a healthy target on a busy machine.
var shortPolicy = online.Policy{FirstByteTimeout: 400 * time.Millisecond, StallTimeout: 400 * time.Millisecond}

// checkCrossedAnswers runs two concurrent calls at the first target, which swaps
// their responses. The other targets belong to another domain and have no fault.
func (s *system) checkCrossedAnswers(call func(question string) error) error {
	far := s.listing
	far.Targets = append([]external.ListedTarget(nil), s.listing.Targets...)
	for i := 1; i < modelTargets; i++ {
		far.Targets[i].Domain = "pnw-pdx"
	}
	s.router.ApplyListing(far)
	s.targets[0].SetFaults(target.Faults{Cross: true, CrossWaitMS: 10_000, Times: 2})
	err := runConcurrently(
		func() error { return call("riser 1") },
		func() error { return call("riser 2") },
	)
	if len(s.targets[0].Counted().ByCall) != 2 {
		return errors.Join(err, errCaseNotReached)
	}
	return err
}

// waitDispatched waits until n online calls occupy slots at targets.
func (s *system) waitDispatched(n int) error {
	return eventually("calls dispatched", func() bool {
		online := 0
		for _, one := range s.router.Targets() {
			online += one.Online
		}
		return online == n
	})
}
