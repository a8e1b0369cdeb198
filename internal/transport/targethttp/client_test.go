package targethttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// rawTarget is a target whose responses a script writes to the connection. The script
// can close the connection at any point.
type rawTarget struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// script responds to request n, counted from 1 over all connections. It returns false
// to close the connection.
type script func(n int64, req *http.Request, conn net.Conn) bool

func newRawTarget(t *testing.T, answer script) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawTarget{listener: listener}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			raw.conns.Add(1)
			running.Go(func() { raw.serve(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return raw
}

func (r *rawTarget) serve(conn net.Conn, answer script) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !answer(r.requests.Add(1), req, conn) {
			return
		}
	}
}

func (r *rawTarget) address() string { return r.listener.Addr().String() }

func answerOK(req *http.Request, conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Call-Id: "+req.Header.Get("X-Call-Id")+"\r\nContent-Length: 2\r\n\r\nok")
}

func testCall(id string) external.Call {
	return external.Call{
		ID: protocol.CallID(id), Method: http.MethodPost, Path: "/work", Body: []byte("body of " + id),
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
	}
}

func newTestClient(t *testing.T, opts Options) *Client {
	client := New(opts)
	t.Cleanup(client.Close)
	return client
}

func runState(t *testing.T, err error) protocol.RunState {
	var failed *external.CallError
	require.True(t, errors.As(err, &failed), "%v", err)
	return failed.Run
}

func readAll(t *testing.T, answer *external.Answer) string {
	data, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return string(data)
}

func TestResponseEchoesCallID(t *testing.T) {
	raw := newRawTarget(t, func(_ int64, req *http.Request, conn net.Conn) bool {
		answerOK(req, conn)
		return true
	})
	client := newTestClient(t, Options{})
	answer, err := client.Do(context.Background(), raw.address(), testCall("c1"))
	require.NoError(t, err)
	require.Equal(t, protocol.CallID("c1"), answer.EchoedID)
	require.Equal(t, "ok", readAll(t, answer))
}

// Nothing listens at the target's address, as after the target has crashed. The call
// certainly did not run, and the error must say so.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	// The address is the local end of an open connection: nothing listens there, and
	// no other process can be assigned the port.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = newTestClient(t, Options{}).Do(context.Background(), conn.LocalAddr().String(), testCall("c1"))
	require.Equal(t, protocol.NotRun, runState(t, err))
}

// The target crashes after it read the call and before it responds. A caller that was
// told "not run" would send the call again, and it would run twice.
func TestLostAnswerMayHaveRun(t *testing.T) {
	raw := newRawTarget(t, func(int64, *http.Request, net.Conn) bool { return false })
	_, err := newTestClient(t, Options{}).Do(context.Background(), raw.address(), testCall("c1"))
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 1, raw.requests.Load())
}

// closeOnSecond responds to the first call. On the second it closes the connection
// after the call took effect.
func closeOnSecond(n int64, req *http.Request, conn net.Conn) bool {
	if n == 2 {
		return false
	}
	answerOK(req, conn)
	return true
}

// A reused connection breaks just after the second call took effect at the target.
// net/http takes this for a connection that was closed while idle and would send the
// call again, so that it runs twice.
func TestCallOnStaleConnectionIsSentOnce(t *testing.T) {
	raw := newRawTarget(t, closeOnSecond)
	client := newTestClient(t, Options{})
	answer, err := client.Do(context.Background(), raw.address(), testCall("c1"))
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, answer))
	_, err = client.Do(context.Background(), raw.address(), testCall("c2"))
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 2, raw.requests.Load(), "the second call was sent again")
	require.EqualValues(t, 1, raw.conns.Load(), "the test requires a reused connection")
}

// The same for a GET without a body, which net/http also sends again.
func TestGetOnStaleConnectionIsSentOnce(t *testing.T) {
	raw := newRawTarget(t, closeOnSecond)
	client := newTestClient(t, Options{})
	get := external.Call{ID: "c1", Method: http.MethodGet, Path: "/work"}
	answer, err := client.Do(context.Background(), raw.address(), get)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, answer))
	_, err = client.Do(context.Background(), raw.address(), get)
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 2, raw.requests.Load(), "the second call was sent again")
}

// Control for the tests above: a request built by http.NewRequest is sent again, so the
// target receives three requests for two calls.
func TestUsualRequestOnStaleConnectionIsSentTwice(t *testing.T) {
	raw := newRawTarget(t, closeOnSecond)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	for _, id := range []string{"c1", "c2"} {
		call := testCall(id)
		req, err := http.NewRequest(call.Method, "http://"+raw.address()+call.Path, bytes.NewReader(call.Body))
		require.NoError(t, err)
		req.Header = call.Header
		resp, err := transport.RoundTrip(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	require.EqualValues(t, 3, raw.requests.Load())
}

// Calls that are not idempotent each use a new connection, so that the target can't be
// closing the connection while the call is written.
func TestFreshConnectionForEachCall(t *testing.T) {
	raw := newRawTarget(t, func(_ int64, req *http.Request, conn net.Conn) bool {
		answerOK(req, conn)
		return true
	})
	client := newTestClient(t, Options{FreshConnections: true})
	for _, id := range []string{"c1", "c2", "c3"} {
		answer, err := client.Do(context.Background(), raw.address(), testCall(id))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, answer))
	}
	require.EqualValues(t, 3, raw.conns.Load())
}

func TestTargetReportsThatCallDidNotRun(t *testing.T) {
	cases := []struct {
		name    string
		leaving string
		want    error
	}{
		{"refused", "", external.ErrNotStarted},
		{"leaving", "true", external.ErrLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerCallID, r.Header.Get(headerCallID))
				w.Header().Set(headerNotRun, "true")
				w.Header().Set(headerLeaving, c.leaving)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(server.Close)
			client := newTestClient(t, Options{})
			_, err := client.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), testCall("c1"))
			require.Equal(t, protocol.NotRun, runState(t, err))
			require.ErrorIs(t, err, c.want)
		})
	}
}

// A target sends the response to another call, which would show the caller data of
// another organisation. The response is dropped and counted, and the connection is
// closed, because later data on it can't be trusted either.
func TestCrossedAnswerIsDropped(t *testing.T) {
	raw := newRawTarget(t, func(n int64, req *http.Request, conn net.Conn) bool {
		if n == 1 {
			req.Header.Set("X-Call-Id", "another")
		}
		answerOK(req, conn)
		return true
	})
	client := newTestClient(t, Options{})
	_, err := client.Do(context.Background(), raw.address(), testCall("c1"))
	require.ErrorIs(t, err, external.ErrCallIDMismatch)
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 1, client.Count("crossed"))
	answer, err := client.Do(context.Background(), raw.address(), testCall("c2"))
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, answer))
	require.EqualValues(t, 2, raw.conns.Load(), "the connection was reused")
}

// The caller cancels the call while it waits for a connection. No byte was sent, and
// none may be sent after the caller was told "not run".
func TestCancelledDialIsNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client := newClient(Options{}, func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	_, err := client.Do(ctx, "127.0.0.1:1", testCall("c1"))
	require.Equal(t, protocol.NotRun, runState(t, err))
}

// The path of a call to a plain service comes from the caller. Neither dots nor doubled
// slashes nor escapes may make it reach a control path.
func TestControlPathsAreClosedToCalls(t *testing.T) {
	for _, path := range []string{"/orders", "/orders/", "//orders", "/a/../orders", "/%6frders", "/cancel/x", "/load?x=1", "no-slash"} {
		require.True(t, isControl(path), path)
	}
	for _, path := range []string{"/", "/v1/chat/completions", "/v2/orders", "/orders2", "/loads?q=/orders"} {
		require.False(t, isControl(path), path)
	}
}

func FuzzLoadReport(f *testing.F) {
	f.Add([]byte(`{"target":"t","running":3,"age_ms":10}`))
	f.Add([]byte(`{"running":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		load, err := decodeLoad(data)
		if err != nil {
			require.ErrorIs(t, err, protocol.ErrMalformed)
			return
		}
		for _, n := range []int64{int64(load.Running), int64(load.Waiting), load.AgeMS} {
			require.GreaterOrEqual(t, n, int64(0))
			require.LessOrEqual(t, n, int64(maxReportNumber))
		}
	})
}
