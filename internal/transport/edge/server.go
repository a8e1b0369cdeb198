package edge

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"github.com/thejerf/suture/v4"
	"merlintiller/internal/transport/graceful"
)

// counters holds the number of refusals by code.
var counters = expvar.NewMap("edge")

// Edge is the callers' HTTP server. It implements suture.Service.
type Edge struct {
	opts     Options
	limits   Limits
	handler  http.Handler
	phase    atomic.Int32
	inFlight atomic.Int64
	// buffered is the total size of the request bodies in memory, in bytes.
	buffered atomic.Int64
	server   *graceful.Service
}

// The shutdown phases of an instance, in order.
const (
	phaseServing int32 = iota
	// phaseDraining: the readiness check fails, but all requests are still
	// served, because the load balancer sends requests until it has noticed.
	phaseDraining
	// phaseRejecting: new requests are rejected; requests in flight continue.
	phaseRejecting
)

// New returns an Edge. Serve opens its listener.
func New(opts Options) *Edge {
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	e := &Edge{opts: opts, limits: opts.Limits.withDefaults()}
	e.handler = e.routes()
	e.server = graceful.NewService(e.listen, e.serverOptions)
	return e
}

// Services returns the edge as a background service.
func (e *Edge) Services() []suture.Service { return []suture.Service{e} }

// String returns the name of the service.
func (e *Edge) String() string { return "edge" }

// Handler returns the HTTP handler, for tests that use no listener.
func (e *Edge) Handler() http.Handler { return e.handler }

// Serve implements suture.Service. For a graceful shutdown, call Drain before
// cancelling ctx.
func (e *Edge) Serve(ctx context.Context) error {
	return e.server.Serve(ctx)
}

func (e *Edge) listen() (net.Listener, error) { return e.opts.Listen() }

func (e *Edge) serverOptions() graceful.Options {
	return graceful.Options{
		Name: "callers",
		HTTP: &http.Server{
			Handler:           e.handler,
			ReadHeaderTimeout: e.limits.HeaderTimeout,
			IdleTimeout:       e.limits.IdleTimeout,
			MaxHeaderBytes:    e.limits.MaxHeaderBytes,
			ErrorLog:          errorLog(e.opts.Logger),
		},
		Refusal:        writeDrainingRefusal,
		IdleRefusal:    writeIdleRefusal,
		MaxConnections: e.limits.MaxConnections,
		Input:          e.opts.Input,
		Logger:         e.opts.Logger,
	}
}

// Drain takes the instance out of service without interrupting a request. It
// makes the readiness check fail, waits for Limits.DrainDelay, rejects new
// requests, and waits until the requests in flight have ended. If ctx is cancelled
// earlier, Drain returns an error.
func (e *Edge) Drain(ctx context.Context) error {
	e.phase.Store(phaseDraining)
	_ = e.opts.Logger.Log("event", "drain_started", "in_flight", e.inFlight.Load())
	timer := time.NewTimer(e.limits.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	e.phase.Store(phaseRejecting)
	err := e.server.Shutdown(ctx)
	_ = e.opts.Logger.Log("event", "drain_ended", "in_flight", e.inFlight.Load(), "err", err)
	return trace.Wrap(err)
}

// InFlight returns the number of requests in flight.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }
