package edge

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"github.com/thejerf/suture/v4"
	"merlintiller/internal/closing"
)

// published counts refusals by code and shed connections.
var published = expvar.NewMap("edge")

// Edge is the callers' HTTP server, a suture service.
type Edge struct {
	opts     Options
	limits   Limits
	handler  http.Handler
	phase    atomic.Int32
	inFlight atomic.Int64
	// buffered is the size of the bodies in memory, in bytes.
	buffered atomic.Int64

	mu     sync.Mutex
	server *http.Server
}

// The phases of an instance, in their order.
const (
	serving int32 = iota
	// leaving: not ready any more, but all requests are still served, since
	// the balancer sends them until it has noticed.
	leaving
	// refusing: new requests are refused, those in flight go on.
	refusing
)

// New returns an edge that does not listen yet.
func New(opts Options) *Edge {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	e := &Edge{opts: opts, limits: opts.Limits.withDefaults()}
	e.handler = e.routes()
	return e
}

// Services returns the edge as a duty.
func (e *Edge) Services() []suture.Service { return []suture.Service{e} }

// String names the duty.
func (e *Edge) String() string { return "edge" }

// Handler serves requests without a listener, for tests.
func (e *Edge) Handler() http.Handler { return e.handler }

// Serve implements suture.Service. Callers of a graceful shutdown call Drain
// before they end ctx.
func (e *Edge) Serve(ctx context.Context) error {
	listener, err := e.opts.Listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: e.limits.HeaderTimeout,
		IdleTimeout:       e.limits.IdleTimeout,
		MaxHeaderBytes:    e.limits.MaxHeaderBytes,
		ErrorLog:          errorLog(e.opts.Logger),
	}
	e.setServer(server)
	wait := closing.When(ctx, func() { _ = server.Close() })
	defer wait()
	err = server.Serve(limitConnections(listener, e.limits.MaxConnections))
	if !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	// After Shutdown the requests in flight go on; the duty ends with ctx.
	<-ctx.Done()
	return ctx.Err()
}

func (e *Edge) setServer(server *http.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
}

// Drain takes the instance out of service without cutting a request: not
// ready first, then the lag of the balancer, then no new requests, then the
// end of those in flight. It returns early with an error if ctx ends.
func (e *Edge) Drain(ctx context.Context) error {
	e.phase.Store(leaving)
	_ = e.opts.Logger.Log("event", "drain_started", "in_flight", e.inFlight.Load())
	timer := time.NewTimer(e.limits.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	e.phase.Store(refusing)
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	_ = e.opts.Logger.Log("event", "drain_ended", "in_flight", e.inFlight.Load(), "err", err)
	return trace.Wrap(err)
}

// InFlight counts the requests that run now.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// limitConnections closes connections beyond a number at once.
//
// What goes wrong without it: a flood of idle connections takes memory and
// file descriptors until the instance can't reach its targets, and requests of
// well-behaved callers fail.
func limitConnections(listener net.Listener, most int) net.Listener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, most)}
}

type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
		default:
			published.Add("connections_shed", 1)
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
