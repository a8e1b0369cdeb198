package online

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/access"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

const (
	testService = protocol.ServiceName("tiller-reports")
	onceService = protocol.ServiceName("code-lookup")
)

var errCut = errors.New("connection cut")

// attemptFunc is what a target does with one call.
type attemptFunc func(ctx context.Context, call external.Call) (*external.Answer, error)

// fakeTarget plays one attemptFunc after the other, the last one for ever.
type fakeTarget struct {
	mu       sync.Mutex
	script   []attemptFunc
	calls    []external.Call
	cancels  int
	probes   int
	deadLoad bool
}

func (f *fakeTarget) Do(ctx context.Context, _ string, call external.Call) (*external.Answer, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	play := f.script[min(len(f.calls), len(f.script))-1]
	f.mu.Unlock()
	return play(ctx, call)
}

func (f *fakeTarget) Cancel(context.Context, string, protocol.CallID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	return nil
}

func (f *fakeTarget) Load(context.Context, string) (external.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.deadLoad {
		return external.Load{}, errCut
	}
	return external.Load{}, nil
}

// fakeRouter offers targets in turn and notes how the calls went.
type fakeRouter struct {
	mu      sync.Mutex
	results []coordination.CallResult
}

func (r *fakeRouter) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
	for i := range 5 {
		id := protocol.TargetID(fmt.Sprint("t", i))
		excluded := false
		for _, one := range req.Exclude {
			excluded = excluded || one == id
		}
		if !excluded {
			return coordination.Pick{Target: id, Address: string(id)}, r.done, true
		}
	}
	return coordination.Pick{}, nil, false
}

func (r *fakeRouter) done(result coordination.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// fakeWriter keeps what the caller gets.
type fakeWriter struct {
	status int
	header http.Header
	body   strings.Builder
	err    error
}

func (w *fakeWriter) Begin(status int, header http.Header) error {
	w.status, w.header = status, header
	return nil
}

func (w *fakeWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	return w.body.Write(p)
}

func (w *fakeWriter) Flush() error { return w.err }

type fakeKeys struct{ withdrawn atomic.Bool }

func (k *fakeKeys) Active(protocol.KeyID) bool { return !k.withdrawn.Load() }

type bench struct {
	target *fakeTarget
	router *fakeRouter
	writer *fakeWriter
	keys   *fakeKeys
	path   *Handler
}

func newBench(policy Policy, script ...attemptFunc) *bench {
	b := &bench{target: &fakeTarget{script: script}, router: &fakeRouter{}, writer: &fakeWriter{}, keys: &fakeKeys{}}
	fleet := &protocol.Fleet{Services: map[protocol.ServiceName]protocol.Service{
		testService: {Name: testService, Repeatable: true},
		onceService: {Name: onceService},
	}}
	b.path = New(Options{
		Fleet: func() *protocol.Fleet { return fleet }, Keys: b.keys, Router: b.router,
		Target: b.target, Loads: b.target, Policy: policy,
	})
	return b
}

func (b *bench) serve(service protocol.ServiceName, stream bool) Result {
	return b.path.Serve(context.Background(), b.request(service, stream), b.writer)
}

func (b *bench) request(service protocol.ServiceName, stream bool) *Request {
	return &Request{ID: "req-1", Caller: access.Caller{Key: "k", Organisation: "o"}, Secret: "sk-secret",
		Service: service, Method: http.MethodPost, Path: "/v1/x", Stream: stream, Header: http.Header{}, Body: []byte("{}")}
}

// answers gives a body after a while.
func answers(after time.Duration, contentType, body string, end error) attemptFunc {
	return func(ctx context.Context, call external.Call) (*external.Answer, error) {
		timer := time.NewTimer(after)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, &external.CallError{Run: protocol.MayHaveRun, Err: ctx.Err()}
		}
		reader := io.MultiReader(strings.NewReader(body), bodyEnd(ctx, end))
		return &external.Answer{EchoedID: call.ID, Status: 200, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(reader)}, nil
	}
}

// bodyEnd ends a body with an error, or with silence for errSilent.
func bodyEnd(ctx context.Context, end error) io.Reader {
	return readFunc(func() error {
		if errors.Is(end, errSilent) {
			<-ctx.Done()
			return ctx.Err()
		}
		return end
	})
}

var errSilent = errors.New("silent")

type readFunc func() error

func (r readFunc) Read([]byte) (int, error) { return 0, r() }

func fails(run protocol.RunState, err error) attemptFunc {
	return func(context.Context, external.Call) (*external.Answer, error) {
		return nil, &external.CallError{Run: run, Err: err}
	}
}

const sseType = "text/event-stream"

func numbered(from, to int, done bool) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: t%d\n\n", i, i)
	}
	if done {
		out.WriteString("data: [DONE]\n\n")
	}
	return out.String()
}

func TestStreamIsResumedWhereItBrokeOff(t *testing.T) {
	b := newBench(Policy{}, answers(0, sseType, numbered(1, 3, false), errCut), answers(0, sseType, numbered(4, 5, true), io.EOF))
	result := b.serve(testService, true)
	require.Nil(t, result.Refusal)
	require.Equal(t, numbered(1, 5, true), b.writer.body.String())
	require.Equal(t, 3, b.target.calls[1].ResumeAt)
	require.NotEqual(t, b.target.calls[0].ID, b.target.calls[1].ID, "a late answer of the first attempt must not pass for the second's")
	require.Equal(t, 1, result.Resumed)
}

// The target does not number its events, so nobody can tell where the stream
// broke off. It must not go on at another target: the caller might read a part
// twice or miss one.
func TestStreamWithoutNumbersIsNotResumed(t *testing.T) {
	b := newBench(Policy{}, answers(0, sseType, "data: a\n\ndata: b\n\n", errCut), answers(0, sseType, "data: a\n\ndata: [DONE]\n\n", io.EOF))
	result := b.serve(testService, true)
	require.Equal(t, protocol.CodeTargetFailed, result.Refusal.Code)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
	require.Len(t, b.target.calls, 1)
}

// A target ends a stream tidily, but without its end mark. Passed on as it is,
// the caller would take a part of the answer for the whole.
func TestStreamWithoutEndMarkIsNotWhole(t *testing.T) {
	b := newBench(Policy{MaxAttempts: 1}, answers(0, sseType, numbered(1, 3, false), io.EOF))
	result := b.serve(testService, true)
	require.NotNil(t, result.Refusal)
	require.True(t, result.Started)
}

// A target goes silent in the middle of a stream and keeps its connection. The
// stream goes on elsewhere after the stall timeout.
func TestSilentStreamMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(0, sseType, numbered(1, 2, false), errSilent), answers(0, sseType, numbered(3, 3, true), io.EOF))
		begun := time.Now()
		result := b.serve(testService, true)
		require.Nil(t, result.Refusal)
		require.Equal(t, 5*time.Second, time.Since(begun))
		require.True(t, b.router.results[0].Failed)
	})
}

// A whole answer takes a minute to generate, far longer than a first token may
// take. Its target answers when asked, so the call is not given up: starting
// again elsewhere would never come to an end.
func TestLongWholeAnswerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(65*time.Second, "application/json", `{"ok":1}`, io.EOF))
		result := b.serve(testService, false)
		require.Nil(t, result.Refusal)
		require.Equal(t, 1, result.Attempts)
		require.Equal(t, 6, b.target.probes)
	})
}

// The target of a whole answer is frozen: it does not answer a look at its load
// either. The call moves on.
func TestFrozenTargetOfWholeAnswerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(time.Hour, "application/json", "", io.EOF), answers(0, "application/json", `{"ok":1}`, io.EOF))
		b.target.deadLoad = true
		begun := time.Now()
		result := b.serve(testService, false)
		require.Nil(t, result.Refusal)
		require.Equal(t, 2, result.Attempts)
		require.Equal(t, 10*time.Second, time.Since(begun))
		require.Equal(t, "application/json", b.writer.header.Get("Content-Type"))
	})
}

// A key is withdrawn while its caller waits for a long whole answer. The call
// ends within seconds, not with the answer, and the target is not blamed.
func TestWithdrawnKeyEndsALongCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(time.Minute, "application/json", `{"ok":1}`, io.EOF))
		time.AfterFunc(3*time.Second, func() { b.keys.withdrawn.Store(true) })
		begun := time.Now()
		result := b.serve(testService, false)
		require.Equal(t, protocol.CodeKeyWithdrawn, result.Refusal.Code)
		require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
		require.LessOrEqual(t, time.Since(begun), 5*time.Second)
		require.Empty(t, b.writer.body.String())
		require.False(t, b.router.results[0].Failed)
	})
}

// The fleet is in trouble and every call fails. Retries stay within the budget,
// or the fleet would get a multiple of its load just then.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{RetryMost: 5}, fails(protocol.MayHaveRun, errCut))
		for range 100 {
			b.serve(testService, false)
		}
		require.LessOrEqual(t, len(b.target.calls), 100+5+10)
		require.Greater(t, len(b.target.calls), 100)
	})
}

// One attempt may have run and the next was not begun. The call as a whole may
// have run; "not run" would be a lie.
func TestOneAttemptThatMayHaveRunDecidesTheRunState(t *testing.T) {
	b := newBench(Policy{MaxAttempts: 2}, fails(protocol.MayHaveRun, errCut), fails(protocol.NotRun, external.ErrNotBegun))
	result := b.serve(testService, false)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
}

func TestCallThatMayNotBeRepeatedIsSentOnceIfItMayHaveRun(t *testing.T) {
	b := newBench(Policy{}, fails(protocol.NotRun, errCut), fails(protocol.MayHaveRun, errCut), answers(0, "text/plain", "again", io.EOF))
	result := b.serve(onceService, false)
	require.Equal(t, protocol.CodeOutcomeUnknown, result.Refusal.Code)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
	require.Len(t, b.target.calls, 2, "the first attempt had certainly not run")
}

// The caller of a call that may not be repeated leaves in the middle. The call
// goes on to its end, and its target is not told to stop half-way.
func TestCallThatMayNotBeRepeatedOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(10*time.Second, "text/plain", "done", io.EOF))
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, leave)
		result := b.path.Serve(ctx, b.request(onceService, false), b.writer)
		require.Nil(t, result.Refusal)
		require.Zero(t, b.path.cancels.waiting.Len())
	})
}

// The caller of a repeatable call leaves. Its target is told to stop, so that
// the place goes to someone who waits.
func TestCallerThatLeavesFreesItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(time.Minute, "application/json", "", io.EOF))
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, leave)
		begun := time.Now()
		result := b.path.Serve(ctx, b.request(testService, false), b.writer)
		require.NotNil(t, result.Refusal)
		require.Equal(t, time.Second, time.Since(begun))
		require.Equal(t, 1, b.path.cancels.waiting.Len())
		require.True(t, b.router.results[0].Abandoned)
	})
}

// The deadline passes while a target is silent. The caller hears at the
// deadline, not later, and that the call may have run.
func TestDeadlineEndsACallAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(time.Hour, sseType, "", io.EOF))
		req := b.request(testService, true)
		begun := time.Now()
		req.Deadline = begun.Add(3 * time.Second)
		result := b.path.Serve(context.Background(), req, b.writer)
		require.Equal(t, protocol.CodeDeadline, result.Refusal.Code)
		require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
		require.Equal(t, 3*time.Second, time.Since(begun))
		require.True(t, b.router.results[0].Failed, "silent for more than a quarter of the first-byte timeout")
	})
}

// A caller asks for more time than a leaving instance waits. Its call would be
// cut by a graceful shutdown; it ends with a true answer before.
func TestDeadlineIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Policy{}, answers(time.Hour, "application/json", "", io.EOF))
		req := b.request(testService, false)
		begun := time.Now()
		req.Deadline = begun.Add(24 * time.Hour)
		result := b.path.Serve(context.Background(), req, b.writer)
		require.Equal(t, protocol.CodeDeadline, result.Refusal.Code)
		require.Equal(t, 2*time.Minute, time.Since(begun))
	})
}

func TestTargetsGetNeitherKeyNorHopByHopHeaders(t *testing.T) {
	b := newBench(Policy{AllowHeaders: []string{"x-extra"}}, answers(0, "application/json", "{}", io.EOF))
	req := b.request(testService, false)
	req.Header = http.Header{
		"Authorization": {"Bearer sk-secret"}, "Cookie": {"a"}, "Connection": {"close"}, "Te": {"trailers"},
		"X-Unknown": {"1"}, "Content-Type": {"application/json"}, "X-Extra": {"2"},
	}
	require.Nil(t, b.path.Serve(context.Background(), req, b.writer).Refusal)
	require.Equal(t, http.Header{"Content-Type": {"application/json"}, "X-Extra": {"2"}, "X-Request-Id": {"req-1"}}, b.target.calls[0].Header)
	require.Equal(t, "req-1", b.writer.header.Get("X-Request-Id"))
	require.Equal(t, "completed", b.writer.header.Get("X-Run-State"))
}
