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

// rawTarget serves each request on its connections by a script, so that it can
// close them at any point.
type rawTarget struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// script answers request n (from 1) of all requests; false closes the
// connection.
type script func(n int64, req *http.Request, conn net.Conn) bool

func newRawTarget(t *testing.T, answer script) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawTarget{listener: listener}
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			raw.conns.Add(1)
			open.Go(func() { raw.serve(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		open.Wait()
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

func TestAnswerComesWithItsID(t *testing.T) {
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

// Nobody listens at the target's address, as after its death. The caller may
// be told that the call did not run, and it is true.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	// The port of an open connection's own end: nobody listens there, and no
	// other process can begin to.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	holder, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer holder.Close()
	_, err = newTestClient(t, Options{}).Do(context.Background(), holder.LocalAddr().String(), testCall("c1"))
	require.Equal(t, protocol.NotRun, runState(t, err))
}

// The target dies after it read the call and before it answers. A caller that
// was told "not run" would send the call again, and it would run twice.
func TestLostAnswerMayHaveRun(t *testing.T) {
	raw := newRawTarget(t, func(int64, *http.Request, net.Conn) bool { return false })
	_, err := newTestClient(t, Options{}).Do(context.Background(), raw.address(), testCall("c1"))
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 1, raw.requests.Load())
}

// dieOnSecond answers the first call and closes the connection on the second,
// after it took effect.
func dieOnSecond(n int64, req *http.Request, conn net.Conn) bool {
	if n == 2 {
		return false
	}
	answerOK(req, conn)
	return true
}

// A kept connection breaks just after the second call took effect at the
// target. net/http takes that for a connection that had been closed while
// idle and sends the call again on its own; the user finds it executed twice.
func TestCallOnStaleConnectionIsSentOnce(t *testing.T) {
	raw := newRawTarget(t, dieOnSecond)
	client := newTestClient(t, Options{})
	answer, err := client.Do(context.Background(), raw.address(), testCall("c1"))
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, answer))
	_, err = client.Do(context.Background(), raw.address(), testCall("c2"))
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 2, raw.requests.Load(), "the second call was sent again")
	require.EqualValues(t, 1, raw.conns.Load(), "the test needs a kept connection")
}

// The same with a GET without a body, which net/http also sends again.
func TestGetOnStaleConnectionIsSentOnce(t *testing.T) {
	raw := newRawTarget(t, dieOnSecond)
	client := newTestClient(t, Options{})
	get := external.Call{ID: "c1", Method: http.MethodGet, Path: "/work"}
	answer, err := client.Do(context.Background(), raw.address(), get)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, answer))
	_, err = client.Do(context.Background(), raw.address(), get)
	require.Equal(t, protocol.MayHaveRun, runState(t, err))
	require.EqualValues(t, 2, raw.requests.Load(), "the second call was sent again")
}

// The check above can fail: a request built the usual way is sent three times
// in place of two.
func TestUsualRequestOnStaleConnectionIsSentTwice(t *testing.T) {
	raw := newRawTarget(t, dieOnSecond)
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

// Calls that may not be repeated each get a connection of their own, so that
// none of them meets one that the target is about to close.
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

func TestTargetsOwnWordThatItDidNotBegin(t *testing.T) {
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

// A target mixes up two calls and answers with the other's id. A caller that
// got it would read another organisation's answer. It is dropped and counted,
// and the connection is closed, since what follows on it can't be trusted.
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
	require.EqualValues(t, 2, raw.conns.Load(), "the connection was used again")
}

// The caller gives up while the call waits for a connection: no byte left, and
// none may leave after it was told "not run".
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

// The path of a call to a plain service comes from its caller. Dots and
// doubled slashes must not lead it to where targets take orders.
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
			require.LessOrEqual(t, n, int64(maxReport))
		}
	})
}
