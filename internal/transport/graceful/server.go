// Package graceful is an HTTP server whose shutdown interrupts no request, also of callers
// that keep sending on open connections and on new ones.
//
// Server.Shutdown of net/http closes the listener and idle connections without regard to
// what is on the way: it resets connections that the kernel has queued, and a request that
// arrives as its connection is closed gets no answer. This package first empties the queue
// of the listener. An idle connection gets a refusal before it is closed, which answers a
// request that is on the way.
package graceful

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"merlintiller/internal/transport/inputbudget"
	"merlintiller/internal/wait"
)

var (
	refusedIdle = expvar.NewInt("shutdown.refused_idle")
	interrupted = expvar.NewInt("shutdown.interrupted")
	expiredIdle = expvar.NewInt("connections.expired_idle")
	evicted     = expvar.NewInt("connections.evicted")
	headsLarge  = expvar.NewInt("connections.closed_head_too_large")
)

const (
	// checkInterval is the interval at which a shutdown checks the open connections.
	checkInterval = 20 * time.Millisecond
	// interruptTimeout is the time that the handlers have to respond after Interrupt.
	interruptTimeout = 100 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	// Name tells several servers of a process apart in the log.
	Name string
	// HTTP is the server of net/http with its handler and limits. Its hooks ConnState and
	// ConnContext are set by New.
	HTTP *http.Server
	// Refusal writes the response that tells a caller that its request was not read and
	// may be sent to another instance.
	Refusal func(http.ResponseWriter)
	// IdleRefusal, if set, writes the response before a connection is closed that was idle
	// for the idle timeout of HTTP. A request that is on the way takes it for the answer.
	IdleRefusal func(http.ResponseWriter)
	// Admit, if set, reports whether a new connection is accepted while a number of others is
	// open, and no request has begun yet on some of these. One that is not is closed before
	// anything is read from it.
	Admit func(open, unread int) bool
	// MaxConnections bounds the open connections, 0 if they are not bounded. A new one beyond it takes the place of one
	// on which no request has begun, or is closed.
	MaxConnections int
	// MaxHead, if set, returns the largest size of the head of a request. Larger ones are refused while they are read.
	MaxHead func() int
	// Input, if set, bounds the memory that the heads of requests take, with other input.
	Input *inputbudget.Budget
	// Interrupt, if set, makes the handlers of the requests in flight respond at once.
	Interrupt func()
	Logger    log.Logger
}

// Server is an HTTP server with a graceful shutdown.
type Server struct {
	opts                 Options
	refusal, idleRefusal []byte
	tooLarge             []byte
	conns                connSet
	// stopping is true from the start of Shutdown.
	stopping atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	// served is closed when Serve has returned.
	served chan struct{}

	stopAccepting sync.Once
}

// New returns a Server. Serve accepts connections.
func New(opts Options) *Server {
	s := &Server{opts: opts, served: make(chan struct{})}
	s.refusal = encodeResponse(opts.Refusal)
	if opts.IdleRefusal != nil {
		s.idleRefusal = encodeResponse(opts.IdleRefusal)
	}
	s.tooLarge = encodeResponse(func(w http.ResponseWriter) { w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge) })
	s.conns.open = map[*conn]struct{}{}
	next := opts.HTTP.Handler
	opts.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if !c.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		s.conns.beginsRequest(c)
		next.ServeHTTP(w, r)
	})
	opts.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	opts.HTTP.ConnState = s.connStateChanged
	return s
}

// Serve accepts connections until Shutdown or Close, and returns http.ErrServerClosed then.
// It may be called once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.served)
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	err := s.opts.HTTP.Serve(&trackingListener{Listener: listener, server: s})
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.opts.HTTP.Close() }

// Shutdown stops accepting connections, lets the requests in flight end and closes each
// connection after that. If ctx is done earlier, it returns an error, and Close interrupts
// what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.stopAccepting.Do(func() { s.closeListener(ctx) })
	for {
		s.conns.refuseIdle()
		if s.conns.count() == 0 {
			s.logClosed(0)
			return nil
		}
		if !wait.For(ctx, checkInterval) {
			return s.interrupt()
		}
	}
}

// interrupt ends the requests that are in flight at the limit of a shutdown.
func (s *Server) interrupt() error {
	left := s.conns.countActive()
	interrupted.Add(int64(left))
	if s.opts.Interrupt != nil {
		s.opts.Interrupt()
		s.awaitResponses()
	}
	s.logClosed(left)
	return trace.LimitExceeded("%d requests are still in flight", left)
}

// awaitResponses waits for the responses after an interrupt.
func (s *Server) awaitResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), interruptTimeout)
	defer cancel()
	for s.conns.countActive() > 0 && wait.For(ctx, checkInterval) {
	}
}

func (s *Server) logClosed(left int) {
	_ = level.Info(s.opts.Logger).Log("event", "connections_closed", "server", s.opts.Name,
		"refused_idle", s.conns.refusedCount(), "interrupted", left)
}

// closeListener closes the listener when every connection in its queue is accepted.
func (s *Server) closeListener(ctx context.Context) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	start := time.Now()
	err := finishQueue(ctx, listener)
	_ = listener.Close()
	<-s.served
	_ = level.Info(s.opts.Logger).Log("event", "listener_closed", "server", s.opts.Name,
		"open", s.conns.count(), "took_ms", time.Since(start).Milliseconds(), "err", err)
}

// queueFinisher is a listener whose queue can be emptied before it is closed.
type queueFinisher interface {
	FinishQueue(ctx context.Context) error
}

// finishQueue empties the queue of a listener that may be wrapped in others.
func finishQueue(ctx context.Context, listener net.Listener) error {
	for {
		switch l := listener.(type) {
		case queueFinisher:
			return l.FinishQueue(ctx)
		case interface{ Unwrap() net.Listener }:
			listener = l.Unwrap()
		default:
			return trace.NotImplemented("queue of %T can't be emptied", listener)
		}
	}
}

// connStateChanged is the ConnState hook of the HTTP server.
func (s *Server) connStateChanged(c net.Conn, state http.ConnState) {
	tracked := c.(*conn)
	switch state {
	case http.StateIdle:
		tracked.becomeIdle()
		if s.listenerClosed() && tracked.markRefused() {
			tracked.writeRefusal()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.remove(tracked)
	}
}

func (s *Server) listenerClosed() bool {
	select {
	case <-s.served:
		return s.stopping.Load()
	default:
		return false
	}
}

// trackingListener wraps accepted connections.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptAdmitted()
	if err != nil {
		return nil, err
	}
	opts := &l.server.opts
	c := &conn{
		Conn: accepted, refusal: l.server.refusal, idleRefusal: l.server.idleRefusal, tooLarge: l.server.tooLarge,
		maxHead: opts.MaxHead, since: time.Now(),
	}
	c.head = opts.Input.NewCharge(func() { _ = accepted.Close() })
	l.server.conns.add(c)
	return c, nil
}

// acceptAdmitted accepts the next connection that is admitted, and closes those that are not.
func (l *trackingListener) acceptAdmitted() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil || l.server.admits() {
			return accepted, err
		}
		_ = accepted.Close()
	}
}

// admits reports whether a new connection is accepted, and makes room for it.
func (s *Server) admits() bool {
	if s.opts.MaxConnections > 0 && !s.conns.makeRoom(s.opts.MaxConnections) {
		return false
	}
	return s.opts.Admit == nil || s.opts.Admit(s.conns.counts())
}
