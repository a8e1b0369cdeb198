package external

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ignoredDialTimeout is longer than the time for which a closing listener waits for
// handshakes.
const ignoredDialTimeout = 2 * handshakeTimeout

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against connections that are reset because the listener is closed before the
// process has accepted them.
func TestQueuedConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	const queued = 3
	listener, err := ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	var callers []net.Conn
	for range queued {
		caller := dial(t, address)
		_, err := caller.Write([]byte("request"))
		require.NoError(t, err)
		callers = append(callers, caller)
	}
	finished := make(chan error, 1)
	go func() { finished <- listener.FinishQueue(t.Context()) }()
	require.Eventually(t, func() bool { return dialIsIgnored(address) }, time.Minute, time.Millisecond)
	require.Empty(t, finished, "the queue is not empty")
	go serveResponses(listener)
	require.NoError(t, <-finished)
	require.NoError(t, listener.Close())
	for _, caller := range callers {
		got := make([]byte, len("response"))
		_, err := io.ReadFull(caller, got)
		require.NoError(t, err)
	}
}

// serveResponses writes a response on each connection until the listener is closed.
func serveResponses(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("response"))
		_ = conn.(*net.TCPConn).CloseWrite()
	}
}

// dialIsIgnored reports whether a new connection gets neither an answer nor a refusal.
func dialIsIgnored(address string) bool {
	conn, err := net.DialTimeout("tcp", address, ignoredDialTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against a shutdown that waits for a queue that nobody empties.
func TestFinishQueueEndsWithItsContext(t *testing.T) {
	listener, err := ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dial(t, listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorContains(t, listener.FinishQueue(ctx), "1 connections were not accepted")
}
