package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
)

type echo struct{ release chan struct{} }

func (e *echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

func (e *echo) Wait(args string, reply *string) error {
	<-e.release
	return nil
}

func start(t *testing.T) (address string, receiver *echo) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(listener, nil, log.NewNopLogger())
	receiver = &echo{release: make(chan struct{})}
	require.NoError(t, server.Register("Echo", receiver))
	require.NoError(t, server.Register("Slow", receiver))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); close(receiver.release); <-done })
	return listener.Addr().String(), receiver
}

func TestCall(t *testing.T) {
	address, _ := start(t)
	client := NewClient(nil)
	defer client.Close()
	var reply string
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "hello", &reply))
	require.Equal(t, "hello", reply)
}

// One receiver of an instance does not return. A call to it ends with its context,
// and calls to another receiver of the same instance still succeed.
func TestSlowReceiverDoesNotBlockOthers(t *testing.T) {
	address, _ := start(t)
	client := NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		var reply string
		failed <- client.Call(ctx, address, "Slow.Wait", "", &reply)
	}()
	var reply string
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "hello", &reply))
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
}

// An instance is replaced by another one at the same address. The first call after
// that fails on the old connection; the next one dials a new connection and succeeds.
func TestReplacedInstanceIsRedialled(t *testing.T) {
	// No other process is assigned this address while nothing listens on it.
	address, err := harness.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	serve := func(l net.Listener) (stop func()) {
		server := NewServer(l, nil, log.NewNopLogger())
		require.NoError(t, server.Register("Echo", &echo{}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		return func() { cancel(); <-done }
	}
	stop := serve(listener)
	client := NewClient(nil)
	defer client.Close()
	var reply string
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "one", &reply))
	stop()
	require.Error(t, client.Call(t.Context(), address, "Echo.Say", "two", &reply))
	listener, err = net.Listen("tcp", address)
	require.NoError(t, err)
	defer serve(listener)()
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "three", &reply))
	require.Equal(t, "three", reply)
}

// slowCloseListener is a listener whose accept loop ends one second before Close
// returns, as can happen in a busy kernel.
type slowCloseListener struct {
	closed chan struct{}
	first  net.Conn
}

func (l *slowCloseListener) Accept() (net.Conn, error) {
	if conn := l.first; conn != nil {
		l.first = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *slowCloseListener) Close() error {
	close(l.closed)
	<-time.After(time.Second)
	return nil
}

func (l *slowCloseListener) Addr() net.Addr { return &net.TCPAddr{} }

// An instance stops and its address is given to another one. The accept loop of the
// old instance ends before its open connections are closed. Serve must not return in
// between, or the old instance could still answer a call to the new one.
func TestStoppedServerAnswersNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := NewServer(&slowCloseListener{closed: make(chan struct{}), first: near}, nil, log.NewNopLogger())
		require.NoError(t, server.Register("Echo", &echo{}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		synctest.Wait()
		cancel()
		<-done
		_, err := far.Write([]byte("x"))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}
