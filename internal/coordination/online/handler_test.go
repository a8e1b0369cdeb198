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
	idempotentService    = protocol.ServiceName("tiller-reports")
	nonIdempotentService = protocol.ServiceName("code-lookup")
)

var errConnectionCut = errors.New("connection cut")

// targetFunc handles one call at a fake target.
type targetFunc func(ctx context.Context, call external.Call) (*external.Answer, error)

// fakeTarget handles each call with the next targetFunc of its script. Further
// calls are handled by the last one.
type fakeTarget struct {
	mu         sync.Mutex
	script     []targetFunc
	calls      []external.Call
	cancels    int
	probes     int
	failProbes bool
}

func (f *fakeTarget) Do(ctx context.Context, _ string, call external.Call) (*external.Answer, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	next := f.script[min(len(f.calls), len(f.script))-1]
	f.mu.Unlock()
	return next(ctx, call)
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
	if f.failProbes {
		return external.Load{}, errConnectionCut
	}
	return external.Load{}, nil
}

// fakeRouter picks the first target that is not excluded and records the results
// of the calls.
type fakeRouter struct {
	mu      sync.Mutex
	results []coordination.CallResult
	// versions are the software versions of the targets, in their order.
	versions [5]string
}

func (r *fakeRouter) Pick(req coordination.PickRequest) (coordination.Pick, func(coordination.CallResult), bool) {
	for i := range 5 {
		id := protocol.TargetID(fmt.Sprint("t", i))
		excluded := false
		for _, other := range req.Exclude {
			excluded = excluded || other == id
		}
		if !excluded && (!req.Resumes || req.Version == r.versions[i]) {
			return coordination.Pick{Target: id, Address: string(id), Version: r.versions[i]}, r.done, true
		}
	}
	return coordination.Pick{}, nil, false
}

func (r *fakeRouter) done(result coordination.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// fakeWriter records the response.
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

type fixture struct {
	target  *fakeTarget
	router  *fakeRouter
	writer  *fakeWriter
	keys    *fakeKeys
	handler *Handler
}

func newFixture(policy Policy, script ...targetFunc) *fixture {
	f := &fixture{target: &fakeTarget{script: script}, router: &fakeRouter{}, writer: &fakeWriter{}, keys: &fakeKeys{}}
	fleet := &protocol.Fleet{Services: map[protocol.ServiceName]protocol.Service{
		idempotentService:    {Name: idempotentService, Repeatable: true},
		nonIdempotentService: {Name: nonIdempotentService},
	}}
	f.handler = New(Options{
		Fleet: func() *protocol.Fleet { return fleet }, Keys: f.keys, Router: f.router,
		Target: f.target, Loads: f.target, Policy: policy,
	})
	return f
}

func (f *fixture) serve(service protocol.ServiceName, stream bool) Result {
	return f.handler.Serve(context.Background(), f.request(service, stream), f.writer)
}

func (f *fixture) request(service protocol.ServiceName, stream bool) *Request {
	return &Request{ID: "req-1", Caller: access.Caller{Key: "k", Organisation: "o"}, Secret: "sk-secret",
		Service: service, Method: http.MethodPost, Path: "/v1/x", Stream: stream, Header: http.Header{}, Body: []byte("{}")}
}

// respond returns the body after delay. Reading past the body gives bodyErr.
func respond(delay time.Duration, contentType, body string, bodyErr error) targetFunc {
	return func(ctx context.Context, call external.Call) (*external.Answer, error) {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, &external.CallError{Run: protocol.MayHaveRun, Err: ctx.Err()}
		}
		reader := io.MultiReader(strings.NewReader(body), bodyTail(ctx, bodyErr))
		return &external.Answer{EchoedID: call.ID, Status: 200, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(reader)}, nil
	}
}

// bodyTail ends a body with bodyErr. For errStalled it blocks until ctx ends.
func bodyTail(ctx context.Context, bodyErr error) io.Reader {
	return readFunc(func() error {
		if errors.Is(bodyErr, errStalled) {
			<-ctx.Done()
			return ctx.Err()
		}
		return bodyErr
	})
}

var errStalled = errors.New("stalled")

type readFunc func() error

func (r readFunc) Read([]byte) (int, error) { return 0, r() }

func failWith(run protocol.RunState, err error) targetFunc {
	return func(context.Context, external.Call) (*external.Answer, error) {
		return nil, &external.CallError{Run: run, Err: err}
	}
}

const sseType = "text/event-stream"

func numberedEvents(from, to int, done bool) string {
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
	f := newFixture(Policy{}, respond(0, sseType, numberedEvents(1, 3, false), errConnectionCut), respond(0, sseType, numberedEvents(4, 5, true), io.EOF))
	result := f.serve(idempotentService, true)
	require.Nil(t, result.Refusal)
	require.Equal(t, numberedEvents(1, 5, true), f.writer.body.String())
	require.Equal(t, 3, f.target.calls[1].ResumeAt)
	require.NotEqual(t, f.target.calls[0].ID, f.target.calls[1].ID, "a late response to the first attempt must not be taken for the second's")
	require.Equal(t, 1, result.Resumed)
}

// The target does not number its events, so the position of an interrupted
// stream is unknown. The stream must not be resumed at another target, because
// the caller might receive events twice or miss some.
func TestStreamWithoutNumbersIsNotResumed(t *testing.T) {
	f := newFixture(Policy{}, respond(0, sseType, "data: a\n\ndata: b\n\n", errConnectionCut), respond(0, sseType, "data: a\n\ndata: [DONE]\n\n", io.EOF))
	result := f.serve(idempotentService, true)
	require.Equal(t, protocol.CodeTargetFailed, result.Refusal.Code)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
	require.Len(t, f.target.calls, 1)
}

// A target closes a stream cleanly but without the end marker. If that counted
// as success, the caller would take a truncated response for a complete one.
func TestStreamWithoutEndMarkerIsIncomplete(t *testing.T) {
	f := newFixture(Policy{MaxAttempts: 1}, respond(0, sseType, numberedEvents(1, 3, false), io.EOF))
	result := f.serve(idempotentService, true)
	require.NotNil(t, result.Refusal)
	require.True(t, result.Started)
}

// A target stops sending in the middle of a stream and keeps its connection
// open. The stream resumes at another target after StallTimeout.
func TestStalledStreamResumesAtAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(0, sseType, numberedEvents(1, 2, false), errStalled), respond(0, sseType, numberedEvents(3, 3, true), io.EOF))
		start := time.Now()
		result := f.serve(idempotentService, true)
		require.Nil(t, result.Refusal)
		require.Equal(t, 5*time.Second, time.Since(start))
		require.True(t, f.router.results[0].Failed)
	})
}

// A response without streaming takes a minute to generate, far longer than
// FirstByteTimeout. The target answers its probes, so the attempt continues:
// each new attempt at another target would time out in the same way.
func TestSlowResponseIsAwaitedWhileTargetAnswersProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(65*time.Second, "application/json", `{"ok":1}`, io.EOF))
		result := f.serve(idempotentService, false)
		require.Nil(t, result.Refusal)
		require.Equal(t, 1, result.Attempts)
		require.Equal(t, 6, f.target.probes)
	})
}

// The target of a call without streaming hangs and does not answer probes
// either. The call is retried at another target.
func TestCallIsRetriedWhenTargetFailsProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(time.Hour, "application/json", "", io.EOF), respond(0, "application/json", `{"ok":1}`, io.EOF))
		f.target.failProbes = true
		start := time.Now()
		result := f.serve(idempotentService, false)
		require.Nil(t, result.Refusal)
		require.Equal(t, 2, result.Attempts)
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Equal(t, "application/json", f.writer.header.Get("Content-Type"))
	})
}

// A key is withdrawn while its caller waits for a long response without
// streaming. The call ends within seconds and without a response, and does not
// count as a failure of the target.
func TestWithdrawnKeyEndsALongCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(time.Minute, "application/json", `{"ok":1}`, io.EOF))
		time.AfterFunc(3*time.Second, func() { f.keys.withdrawn.Store(true) })
		start := time.Now()
		result := f.serve(idempotentService, false)
		require.Equal(t, protocol.CodeKeyWithdrawn, result.Refusal.Code)
		require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
		require.LessOrEqual(t, time.Since(start), 5*time.Second)
		require.Empty(t, f.writer.body.String())
		require.False(t, f.router.results[0].Failed)
	})
}

// Every call fails. Retries stay within the retry budget; otherwise they would
// multiply the load while the fleet is already failing.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{RetryBurst: 5}, failWith(protocol.MayHaveRun, errConnectionCut))
		for range 100 {
			f.serve(idempotentService, false)
		}
		require.LessOrEqual(t, len(f.target.calls), 100+5+10)
		require.Greater(t, len(f.target.calls), 100)
	})
}

// The first attempt may have run and the second certainly did not. The call as a
// whole may have run, so it must not be reported as not run.
func TestOneAttemptThatMayHaveRunDecidesTheRunState(t *testing.T) {
	f := newFixture(Policy{MaxAttempts: 2}, failWith(protocol.MayHaveRun, errConnectionCut), failWith(protocol.NotRun, external.ErrNotStarted))
	result := f.serve(idempotentService, false)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
}

func TestNonIdempotentCallIsNotResentIfItMayHaveRun(t *testing.T) {
	f := newFixture(Policy{}, failWith(protocol.NotRun, errConnectionCut), failWith(protocol.MayHaveRun, errConnectionCut), respond(0, "text/plain", "again", io.EOF))
	result := f.serve(nonIdempotentService, false)
	require.Equal(t, protocol.CodeOutcomeUnknown, result.Refusal.Code)
	require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
	require.Len(t, f.target.calls, 2, "the first attempt had certainly not run")
}

// The caller of a call that is not idempotent disconnects during the call. The
// call continues to its end, and the target gets no cancel request.
func TestNonIdempotentCallContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(10*time.Second, "text/plain", "done", io.EOF))
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, disconnect)
		result := f.handler.Serve(ctx, f.request(nonIdempotentService, false), f.writer)
		require.Nil(t, result.Refusal)
		require.Zero(t, f.handler.canceller.queue.Len())
	})
}

// The caller of an idempotent call disconnects. The target gets a cancel
// request, so that its slot becomes free for another call.
func TestDisconnectedCallerCancelsCallAtTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(time.Minute, "application/json", "", io.EOF))
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, disconnect)
		start := time.Now()
		result := f.handler.Serve(ctx, f.request(idempotentService, false), f.writer)
		require.NotNil(t, result.Refusal)
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, 1, f.handler.canceller.queue.Len())
		require.True(t, f.router.results[0].Abandoned)
	})
}

// The deadline passes while the target sends nothing. The call ends at the
// deadline, not later, and is reported as possibly run.
func TestCallEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(time.Hour, sseType, "", io.EOF))
		req := f.request(idempotentService, true)
		start := time.Now()
		req.Deadline = start.Add(3 * time.Second)
		result := f.handler.Serve(context.Background(), req, f.writer)
		require.Equal(t, protocol.CodeDeadline, result.Refusal.Code)
		require.Equal(t, protocol.MayHaveRun, result.Refusal.Run)
		require.Equal(t, 3*time.Second, time.Since(start))
		require.True(t, f.router.results[0].Failed, "no byte for more than a quarter of FirstByteTimeout")
	})
}

// A caller sets a deadline later than an instance waits at shutdown. A graceful
// shutdown would abort such a call, so Policy.Timeout ends it before with a
// refusal that states its run state.
func TestDeadlineIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(Policy{}, respond(time.Hour, "application/json", "", io.EOF))
		req := f.request(idempotentService, false)
		start := time.Now()
		req.Deadline = start.Add(24 * time.Hour)
		result := f.handler.Serve(context.Background(), req, f.writer)
		require.Equal(t, protocol.CodeDeadline, result.Refusal.Code)
		require.Equal(t, 2*time.Minute, time.Since(start))
	})
}

func TestTargetsGetNeitherKeyNorHopByHopHeaders(t *testing.T) {
	f := newFixture(Policy{AllowHeaders: []string{"x-extra"}}, respond(0, "application/json", "{}", io.EOF))
	req := f.request(idempotentService, false)
	req.Header = http.Header{
		"Authorization": {"Bearer sk-secret"}, "Cookie": {"a"}, "Connection": {"close"}, "Te": {"trailers"},
		"X-Unknown": {"1"}, "Content-Type": {"application/json"}, "X-Extra": {"2"},
	}
	require.Nil(t, f.handler.Serve(context.Background(), req, f.writer).Refusal)
	require.Equal(t, http.Header{"Content-Type": {"application/json"}, "X-Extra": {"2"}, "X-Request-Id": {"req-1"}}, f.target.calls[0].Header)
	require.Equal(t, "req-1", f.writer.header.Get("X-Request-Id"))
	require.Equal(t, "completed", f.writer.header.Get("X-Run-State"))
}

// Guards against a stream that goes on at a target of another software version.
func TestStreamIsResumedAtItsVersionOnly(t *testing.T) {
	broken := respond(0, sseType, numberedEvents(1, 3, false), errConnectionCut)
	f := newFixture(Policy{}, broken, respond(0, sseType, numberedEvents(4, 5, true), io.EOF))
	f.router.versions = [5]string{"v1", "v2", "v2", "v1"}
	result := f.serve(idempotentService, true)
	require.Nil(t, result.Refusal)
	require.Equal(t, protocol.TargetID("t3"), result.Target)
	require.Equal(t, numberedEvents(1, 5, true), f.writer.body.String())

	f = newFixture(Policy{}, broken, respond(0, sseType, numberedEvents(4, 5, true), io.EOF))
	f.router.versions = [5]string{"v1", "v2", "v2", "v2", "v2"}
	result = f.serve(idempotentService, true)
	require.Equal(t, protocol.CodeTargetFailed, result.Refusal.Code)
	require.True(t, result.Started)
	require.Len(t, f.target.calls, 1)
}

// Guards against a requirement that no event justifies: until the first one, a call may run at any
// software version.
func TestCallWithoutEventIsRetriedAtAnyVersion(t *testing.T) {
	f := newFixture(Policy{}, failWith(protocol.MayHaveRun, errConnectionCut), respond(0, sseType, numberedEvents(1, 5, true), io.EOF))
	f.router.versions = [5]string{"v1", "v2"}
	result := f.serve(idempotentService, true)
	require.Nil(t, result.Refusal)
	require.Equal(t, protocol.TargetID("t1"), result.Target)
}
