package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

const request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// startServer serves a handler until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) (*Server, *pipeListener) {
	server := New(Options{
		Name:    "test",
		HTTP:    &http.Server{Handler: handler},
		Refusal: func(w http.ResponseWriter) { http.Error(w, "not read", http.StatusServiceUnavailable) },
		Logger:  log.NewNopLogger(),
	})
	listener := newPipeListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return server, listener
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// startShutdown shuts a server down in the background.
func startShutdown(ctx context.Context, server *Server) <-chan error {
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(ctx) }()
	return done
}

// receiveStatus reads a response and returns its status.
func receiveStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// Guards against a caller that has just connected and finds its first request lost, since
// the shutdown took its connection for an idle one.
func TestNewConnectionIsGivenTimeForItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := startServer(t, answerOK)
		caller := listener.dial()
		done := startShutdown(t.Context(), server)
		<-time.After(firstRequestTimeout / 2)
		_, err := io.WriteString(caller, strings.Replace(request, "Host", "Connection: close\r\nHost", 1))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, receiveStatus(t, caller))
		require.NoError(t, <-done)
	})
}

// Guards against a shutdown that waits for a connection on which no request ever comes.
func TestConnectionWithoutRequestDoesNotHoldUpShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := startServer(t, answerOK)
		caller := listener.dial()
		start := time.Now()
		done := startShutdown(t.Context(), server)
		require.Equal(t, http.StatusServiceUnavailable, receiveStatus(t, caller))
		require.NoError(t, <-done)
		require.Less(t, time.Since(start), firstRequestTimeout+2*lingerTimeout)
	})
}

// handshakingConn is a connection on which a write waits for a read, as during a TLS
// handshake.
type handshakingConn struct {
	net.Conn
	// turn holds one token for the read or write that may run.
	turn chan struct{}
}

func (c *handshakingConn) Read(p []byte) (int, error) {
	<-c.turn
	defer func() { c.turn <- struct{}{} }()
	return c.Conn.Read(p)
}

func (c *handshakingConn) Write(p []byte) (int, error) {
	<-c.turn
	defer func() { c.turn <- struct{}{} }()
	return c.Conn.Write(p)
}

// Guards against a shutdown that waits for one silent handshake after the other.
func TestSilentHandshakesDoNotHoldUpShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := startServer(t, answerOK)
		for range 20 {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			turn := make(chan struct{}, 1)
			turn <- struct{}{}
			listener.conns <- &handshakingConn{Conn: far, turn: turn}
		}
		start := time.Now()
		require.NoError(t, server.Shutdown(t.Context()))
		require.Less(t, time.Since(start), firstRequestTimeout+2*lingerTimeout)
	})
}

// Guards against a refusal that says "not run" for a request that then runs, because its
// bytes arrived together with those of the request before.
func TestPipelinedRequestDoesNotRunAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		release := make(chan struct{})
		server, listener := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			runs++
			<-release
			answerOK(w, r)
		})
		caller := listener.dial()
		go func() { _, _ = io.WriteString(caller, request+request) }()
		synctest.Wait()
		done := startShutdown(t.Context(), server)
		synctest.Wait()
		close(release)
		reader := bufio.NewReader(caller)
		for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, want, response.StatusCode)
			_, _ = io.Copy(io.Discard, response.Body)
		}
		require.NoError(t, <-done)
		require.Equal(t, 1, runs)
	})
}

// Guards against a refusal that is written into a connection whose request the server has
// begun to read: the caller would get two responses to one request.
func TestConnectionWithPartOfRequestIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := startServer(t, answerOK)
		caller := listener.dial()
		_, err := io.WriteString(caller, request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, receiveStatus(t, caller))
		_, err = io.WriteString(caller, request[:10])
		require.NoError(t, err)
		synctest.Wait()
		done := startShutdown(t.Context(), server)
		<-time.After(time.Second)
		_, err = io.WriteString(caller, strings.Replace(request, "Host", "Connection: close\r\nHost", 1)[10:])
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, receiveStatus(t, caller))
		require.NoError(t, <-done)
	})
}

// Guards against a shutdown that ends without an error although it interrupts a request.
func TestShutdownReportsRequestsInFlightAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		server, listener := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
		caller := listener.dial()
		_, err := io.WriteString(caller, request)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorContains(t, server.Shutdown(ctx), "1 requests are still in flight")
		close(release)
		require.Equal(t, http.StatusOK, receiveStatus(t, caller))
	})
}

// Guards against a request that gets no response at the limit of a shutdown though its
// handler could give one, and against a handler that holds up the shutdown beyond its limit.
func TestHandlersAreInterruptedAtLimitOfShutdown(t *testing.T) {
	for name, responds := range map[string]bool{"responds": true, "hangs": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				interrupt, release := make(chan struct{}), make(chan struct{})
				server, listener := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
					<-interrupt
					if !responds {
						<-release
					}
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusBadGateway)
				})
				server.opts.Interrupt = func() { close(interrupt) }
				caller := listener.dial()
				_, err := io.WriteString(caller, request)
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				done := startShutdown(ctx, server)
				if responds {
					require.Equal(t, http.StatusBadGateway, receiveStatus(t, caller))
				}
				require.ErrorContains(t, <-done, "1 requests are still in flight")
				require.LessOrEqual(t, time.Since(start), time.Second+interruptTimeout)
				require.NoError(t, server.Close())
				close(release)
			})
		})
	}
}

// Guards against a request that gets no answer since its connection reaches the idle timeout
// as it comes.
func TestRequestAtTheIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = time.Minute
		server := New(Options{
			Name:        "test",
			HTTP:        &http.Server{Handler: http.HandlerFunc(answerOK), IdleTimeout: idleTimeout},
			Refusal:     func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
			IdleRefusal: func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestTimeout) },
			Logger:      log.NewNopLogger(),
		})
		listener := newPipeListener()
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn := listener.dial()
		_, err := io.WriteString(conn, request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, receiveStatus(t, conn))
		time.Sleep(idleTimeout + time.Millisecond)
		go func() { _, _ = io.WriteString(conn, request) }()
		require.Equal(t, http.StatusRequestTimeout, receiveStatus(t, conn))
		time.Sleep(lingerTimeout)
		synctest.Wait()
		require.Zero(t, server.conns.count(), "the connection must be closed")
		require.NoError(t, server.Shutdown(t.Context()))
		require.Zero(t, server.conns.refusedCount())
		<-served
	})
}

// Guards against a connection that is read although the server is overloaded, and against counts that
// don't go back when connections end.
func TestConnectionThatIsNotAdmittedIsClosedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, listener := startServer(t, answerOK)
		var seen [][2]int
		server.opts.Admit = func(open, unread int) bool {
			seen = append(seen, [2]int{open, unread})
			return open == 0
		}
		first := listener.dial()
		synctest.Wait()
		second := listener.dial()
		_, err := second.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		go func() { _, _ = io.WriteString(first, request) }()
		require.Equal(t, http.StatusOK, receiveStatus(t, first))
		_ = listener.dial()
		// Without this, the first connection may be gone before it is counted.
		synctest.Wait()
		_ = first.Close()
		synctest.Wait()
		third := listener.dial()
		synctest.Wait()
		require.Equal(t, [][2]int{{0, 0}, {1, 1}, {1, 0}, {0, 0}}, seen)
		_ = third.Close()
	})
}
