package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/standin/memnet"
	"merlintiller/internal/state/route"
)

const host = "calls.example"

// relayFunc is a Relay.
type relayFunc func(sink relay.Sink) relay.Outcome

func (f relayFunc) Serve(_ context.Context, _ *relay.RoutedRequest, sink relay.Sink) relay.Outcome {
	return f(sink)
}

// noQuota admits every request.
type noQuota struct{}

func (noQuota) Admit(string) quota.Decision { return quota.Decision{Admitted: true} }
func (noQuota) Refund(string)               {}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testFront is a Front with one route. Its log lines are kept.
type testFront struct {
	t       *testing.T
	address string
	logs    *lockedBuffer
}

func startFront(t *testing.T, serve relayFunc) *testFront {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startFrontOn(t, listener, serve, nil)
}

// startFrontOn starts a Front with a budget of held bytes, nil: without.
func startFrontOn(t *testing.T, listener net.Listener, serve relayFunc, budget *answerbuffer.Budget) *testFront {
	t.Helper()
	table := route.NewTable(route.Config{Version: 1, Routes: []route.Route{{
		Name: "r", Host: host, Prefix: "/", Kind: route.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 1,
		Split: []route.WeightedService{{Service: "svc", Weight: 1}},
	}}})
	logs := &lockedBuffer{}
	f := New(Options{
		Listen: func() (net.Listener, error) { return listener, nil },
		Codec: Codec{
			DecodeRequest: func(r *http.Request) exchange.Request {
				return exchange.Request{ID: r.Header.Get("Request-Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path}
			},
			DecodeJobCall:    func(*http.Request) (exchange.JobCall, bool) { return exchange.JobCall{}, false },
			EncodeRetryAfter: func(d time.Duration) string { return d.String() },
		},
		Table: func() *route.Table { return table }, Quota: noQuota{}, Relay: serve, HeldBytes: budget,
		Logger: log.NewLogfmtLogger(logs),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return &testFront{t: t, address: listener.Addr().String(), logs: logs}
}

// exchange sends bytes on a new connection, closes its sending side, and returns what it
// receives until the connection ends.
func (f *testFront) exchange(request string) string {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	require.NoError(f.t, err)
	require.NoError(f.t, conn.(*net.TCPConn).CloseWrite())
	received, err := io.ReadAll(conn)
	require.NoError(f.t, err)
	return string(received)
}

func request(id string, contentLength int, body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", host, id, contentLength, body)
}

// Guards against a success that the caller gets for a request that never ran, since its
// body ended early.
func TestCutBodyGetsNoSuccess(t *testing.T) {
	f := startFront(t, func(relay.Sink) relay.Outcome {
		t.Error("a request without its whole body must not run")
		return relay.Outcome{}
	})
	require.NotContains(t, f.exchange(request("cut", 10, "abc")), " 200 ")
	require.Contains(t, f.logs.String(), "request=cut")
}

// Guards against a request that ends without a response and without a log line, because a
// fault of this program made its handler panic.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	f := startFront(t, func(relay.Sink) relay.Outcome { panic("broken invariant") })
	require.Contains(t, f.exchange(request("first", 0, "")), "HTTP/1.1 500 ")
	require.Regexp(t, `event=request request=first .*outcome=failed reason=panic status=500 .*err="broken invariant"`, f.logs.String())
}

// Guards against a truncated response that looks complete, because the panic of its handler
// was answered.
func TestPanicInResponseClosesConnection(t *testing.T) {
	f := startFront(t, func(sink relay.Sink) relay.Outcome {
		sink.SendHead(&exchange.Reply{Status: http.StatusOK})
		if err := sink.SendBody([]byte("part")); err != nil {
			t.Error(err)
		}
		panic("broken invariant")
	})
	require.True(t, strings.HasSuffix(f.exchange(request("first", 0, "")), "4\r\npart\r\n"))
	require.Regexp(t, `event=request request=first .*outcome=cut_off reason=panic status=500 `, f.logs.String())
}

// Guards against a log line that says that the caller left, where the caller was connected
// and did not read its response.
func TestLogTellsCallerThatDoesNotReadFromOneThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Host("10.0.0.2").Listen("10.0.0.2:80")
		require.NoError(t, err)
		ended := make(chan struct{})
		f := startFrontOn(t, listener, func(sink relay.Sink) relay.Outcome {
			defer close(ended)
			sink.SendHead(&exchange.Reply{Status: http.StatusOK})
			require.Error(t, sink.SendBody(make([]byte, 1<<20)))
			return relay.Outcome{Reason: relay.CallerDisconnected, Status: http.StatusOK, TimeToFirstByte: 1}
		}, nil)
		caller, err := network.Host("10.0.0.1").Dial(t.Context(), "10.0.0.2:80")
		require.NoError(t, err)
		_, err = io.WriteString(caller, request("slow", 0, ""))
		require.NoError(t, err)
		<-ended
		synctest.Wait()
		require.Regexp(t, `request=slow .*reason=caller_left .*write_err="?i/o timeout`, f.logs.String())
		require.NoError(t, caller.Close())
	})
}
