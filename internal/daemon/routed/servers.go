package routed

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"merlintiller/internal/listening"
	"merlintiller/internal/transport/graceful"
	"merlintiller/internal/transport/inputbudget"
)

const (
	// headerTimeout limits the time to read the request headers at the readiness and
	// metrics servers, idleTimeout that between two requests, and writeTimeout that of a response.
	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
	writeTimeout  = 10 * time.Second
	// internalConnections bounds the connections at each of these servers, internalHeadBytes the head of a request there.
	internalConnections = 64
	internalHeadBytes   = 8 << 10
	// inputPercent is the part of the process's memory, in percent, that incomplete input may take. It is read into
	// buffers that grow, and what they held before is freed later.
	inputPercent = 10
	// messagesPercent is the part that messages of other instances may take while they are received.
	messagesPercent = 20
)

// newInputBudget returns a budget of a part of the process's memory, in percent.
func newInputBudget(percent int64, memoryMB int) *inputbudget.Budget {
	return inputbudget.New(percent * int64(memoryMB) * (1 << 20) / 100)
}

// listeners are those of callers, the load balancer's readiness checks and, optionally,
// metrics.
type listeners struct {
	callers, readiness, metrics listening.OpenFunc
}

func (d *Daemon) setupListeners() error {
	addresses := d.settings.Listen
	for _, l := range []struct {
		name, address string
		to            *listening.OpenFunc
	}{
		{"callers", addresses.Callers, &d.listeners.callers},
		{"readiness checks", addresses.Readiness, &d.listeners.readiness},
		{"metrics", addresses.Metrics, &d.listeners.metrics},
	} {
		if l.address == "" {
			continue
		}
		open, err := listening.Now(l.name, l.address, func() (net.Listener, error) { return d.network.Listen(l.address) })
		if err != nil {
			return trace.Wrap(err)
		}
		*l.to = open
	}
	return nil
}

// readinessServer serves the readiness checks of the load balancer.
type readinessServer struct {
	daemon *Daemon
	listen listening.OpenFunc
}

// String returns the name of the service for the supervisor.
func (r *readinessServer) String() string { return "readiness" }

// Serve implements suture.Service.
func (r *readinessServer) Serve(ctx context.Context) error {
	return serveHTTP(ctx, "readiness", r.listen, http.HandlerFunc(r.handle), r.daemon.input, r.daemon.logger)
}

func (r *readinessServer) handle(w http.ResponseWriter, _ *http.Request) {
	if r.daemon.leaving.Load() || !r.daemon.view.Ready() || !r.daemon.isolation.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsServer exposes the metrics of the process.
type metricsServer struct {
	daemon *Daemon
	listen listening.OpenFunc
}

// String returns the name of the service for the supervisor.
func (m *metricsServer) String() string { return "metrics" }

// Serve implements suture.Service.
func (m *metricsServer) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return serveHTTP(ctx, "metrics", m.listen, mux, m.daemon.input, m.daemon.logger)
}

// serveHTTP serves the platform and operators until ctx ends. These connections are few, so that the bounds are low.
func serveHTTP(ctx context.Context, name string, listen listening.OpenFunc, handler http.Handler, input *inputbudget.Budget, logger log.Logger) error {
	return graceful.NewService(listen, func() graceful.Options {
		return graceful.Options{
			Name: name,
			HTTP: &http.Server{
				Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: internalHeadBytes,
			},
			Refusal:        func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
			MaxConnections: internalConnections,
			MaxHead:        func() int { return internalHeadBytes },
			Input:          input,
			Logger:         logger,
		}
	}).Serve(ctx)
}
