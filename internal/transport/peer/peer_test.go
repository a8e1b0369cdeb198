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

// One instance is slow to answer a question. The caller's wait ends with its
// context, and calls to another receiver at the same instance still go through.
func TestSlowReceiverHoldsUpNoOther(t *testing.T) {
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

// An instance is replaced at the same address. The first call after that finds
// a dead connection; the one after it dials anew and is answered.
func TestReplacedInstanceIsDialledAnew(t *testing.T) {
	// An address that no other process is given while nobody listens there.
	address, err := harness.FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	run := func(l net.Listener) (stop func()) {
		server := NewServer(l, nil, log.NewNopLogger())
		require.NoError(t, server.Register("Echo", &echo{}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		return func() { cancel(); <-done }
	}
	stop := run(listener)
	client := NewClient(nil)
	defer client.Close()
	var reply string
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "one", &reply))
	stop()
	require.Error(t, client.Call(t.Context(), address, "Echo.Say", "two", &reply))
	listener, err = net.Listen("tcp", address)
	require.NoError(t, err)
	defer run(listener)()
	require.NoError(t, client.Call(t.Context(), address, "Echo.Say", "three", &reply))
	require.Equal(t, "three", reply)
}

// slowCloser is a listener that wakes its accept loop a while before Close
// returns, as a busy kernel may.
type slowCloser struct {
	woken chan struct{}
	first net.Conn
}

func (l *slowCloser) Accept() (net.Conn, error) {
	if conn := l.first; conn != nil {
		l.first = nil
		return conn, nil
	}
	<-l.woken
	return nil, net.ErrClosed
}

func (l *slowCloser) Close() error {
	close(l.woken)
	<-time.After(time.Second)
	return nil
}

func (l *slowCloser) Addr() net.Addr { return &net.TCPAddr{} }

// An instance is stopped and its address is given to another one. Its accept
// loop ends at once, its open connections a moment later. If it counted as
// stopped between the two, a call to the new instance could still be answered
// by the old one.
func TestStoppedServerAnswersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := NewServer(&slowCloser{woken: make(chan struct{}), first: near}, nil, log.NewNopLogger())
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
