package routed

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"merlintiller/internal/closing"
	"merlintiller/internal/listening"
)

// headerTimeout limits the time to read the request headers at the readiness and
// metrics servers.
const headerTimeout = 2 * time.Second

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
	return serveHTTP(ctx, r.listen, http.HandlerFunc(r.handle))
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
	return serveHTTP(ctx, m.listen, mux)
}

func serveHTTP(ctx context.Context, listen listening.OpenFunc, handler http.Handler) error {
	listener, err := listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	wait := closing.OnDone(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return ctx.Err()
}
