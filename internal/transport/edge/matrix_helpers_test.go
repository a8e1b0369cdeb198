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

// variant breaks a decision on purpose. The zero value is the real code.
type variant struct {
	// trustEcho takes every answer for the call's own.
	trustEcho bool
	// resend sends a call again whose answer was lost.
	resend bool
}

// brokenTarget is a way to the targets with a decision taken out.
type brokenTarget struct {
	*targethttp.Client
	v variant
}

func (b *brokenTarget) Do(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
	if b.v.trustEcho {
		return doTrusting(ctx, address, call)
	}
	answer, err := b.Client.Do(ctx, address, call)
	if err != nil && b.v.resend {
		return b.Client.Do(ctx, address, call)
	}
	return answer, err
}

// doTrusting makes a call as any HTTP client does.
func doTrusting(ctx context.Context, address string, call external.Call) (*external.Answer, error) {
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

func newVariantSystem(t testing.TB, v variant, opts systemOptions) *system {
	if v != (variant{}) {
		opts.target = &brokenTarget{Client: targethttp.New(targethttp.Options{}), v: v}
	}
	return newSystem(t, opts)
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	closed  bool
	body    string
	err     error
	refusal errorDetail
}

func (r reply) refused(code protocol.Code, run protocol.RunState) error {
	if r.refusal.Code != code || r.refusal.RunState != run {
		return fmt.Errorf("got %d %q (%s), wanted %s (%s): %v", r.status, r.refusal.Code, r.refusal.RunState, code, run, r.err)
	}
	return nil
}

// call makes one request and reads its whole answer.
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

// chatWhole asks for a whole answer and checks that it is the caller's own.
func (s *system) chatWhole(question string) error {
	got := s.call(context.Background(), testPath, chatBody(question, false), nil)
	return got.answers(question)
}

func (r reply) answers(question string) error {
	if r.err != nil || r.status != http.StatusOK {
		return fmt.Errorf("status %d, %s %s: %v", r.status, r.refusal.Code, r.refusal.Message, r.err)
	}
	if !strings.Contains(r.body, target.Text(target.ChatText(question), answerTokens)) {
		return fmt.Errorf("not the whole answer to %q: %s", question, r.body)
	}
	return nil
}

// chatStreamed asks for a stream and checks that it is whole and the caller's
// own.
func (s *system) chatStreamed(question string, opts ...option.RequestOption) error {
	text, err := s.streamed(question, opts...)
	if err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	if want := target.Text(target.ChatText(question), answerTokens); text != want {
		return fmt.Errorf("got %q, wanted %q", text, want)
	}
	return nil
}

// errShownWhole: a broken answer passed for a whole one.
var errShownWhole = errors.New("a broken answer was shown as whole")

// brokenStream checks that a stream ends with an error, with a true beginning.
func (s *system) brokenStream(question string) error {
	text, err := s.streamed(question)
	if err == nil {
		return errShownWhole
	}
	if !strings.HasPrefix(target.Text(target.ChatText(question), answerTokens), text) {
		return fmt.Errorf("the beginning is not the answer's: %q", text)
	}
	return nil
}

const plainPath = "/v1/services/code-lookup/nfpa/25"

// plainCall makes a call that may not be repeated.
func (s *system) plainCall(body string, header http.Header) reply {
	return s.call(context.Background(), plainPath, body, header)
}

// runs counts the executions of a plain call by its body.
func (s *system) runs(body string) int {
	return s.plain.Counted().ByBody[target.BodyKey([]byte(body))]
}

// ran checks the number of executions of a plain call.
func (s *system) ran(body string, want int) error {
	if got := s.runs(body); got != want {
		return fmt.Errorf("the call ran %d times, wanted %d", got, want)
	}
	return nil
}

// eventually waits for something that comes about by itself.
func eventually(what string, ok func() bool) error {
	limit := time.NewTimer(waitLong)
	defer limit.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-limit.C:
			return fmt.Errorf("never: %s", what)
		}
	}
	return nil
}

// together runs calls at the same time and joins their errors.
func together(calls ...func() error) error {
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

// begin starts a call that runs beside the test; its end is read from the
// channel.
func begin(call func() error) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- call() }()
	return ended
}

// held waits until n streams are held in the middle at the targets.
func (s *system) held(n int) error {
	return eventually("streams held at the targets", func() bool { return s.inFlightAtTargets() == n })
}

// change swaps the configuration in force.
func (s *system) change(edit func(*protocol.Fleet)) {
	fleet := testFleet()
	edit(fleet)
	s.fleet.Store(fleet)
}

func withdraw(fleet *protocol.Fleet) {
	key := fleet.Keys[testKey]
	key.Withdrawn = true
	fleet.Keys[testKey] = key
}

// shortPolicy makes frozen targets show soon. It is long enough that a healthy
// target on a busy machine is not taken for a frozen one.
var shortPolicy = online.Policy{FirstByteTimeout: 400 * time.Millisecond, StallTimeout: 400 * time.Millisecond}

// crossAtFirst lets two calls run at the same time at the first target, which
// swaps their answers. The others are of another domain and well.
func (s *system) crossAtFirst(call func(question string) error) error {
	far := s.listing
	far.Targets = append([]external.ListedTarget(nil), s.listing.Targets...)
	for i := 1; i < modelTargets; i++ {
		far.Targets[i].Domain = "pnw-pdx"
	}
	s.router.ApplyListing(far)
	s.targets[0].SetFaults(target.Faults{Cross: true, CrossWaitMS: 10_000, Times: 2})
	err := together(
		func() error { return call("riser 1") },
		func() error { return call("riser 2") },
	)
	if len(s.targets[0].Counted().ByCall) != 2 {
		return errors.Join(err, errNoEvidence)
	}
	return err
}

// dispatched waits until so many calls are on their way to targets.
func (s *system) dispatched(n int) error {
	return eventually("calls dispatched", func() bool {
		online := 0
		for _, one := range s.router.Targets() {
			online += one.Online
		}
		return online == n
	})
}
