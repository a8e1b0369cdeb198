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
)

// smallServerTimeout bounds the head of a request to the small servers.
const smallServerTimeout = 2 * time.Second

// readiness answers the balancer.
type readiness struct {
	daemon *Daemon
	listen func() (net.Listener, error)
}

// String names the duty.
func (r *readiness) String() string { return "readiness" }

// Serve implements suture.Service.
func (r *readiness) Serve(ctx context.Context) error {
	return serveHTTP(ctx, r.listen, http.HandlerFunc(r.answer))
}

func (r *readiness) answer(w http.ResponseWriter, _ *http.Request) {
	if r.daemon.leaving.Load() || !r.daemon.view.Ready() || !r.daemon.isolation.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsServer shows the counters.
type metricsServer struct {
	listen func() (net.Listener, error)
}

// String names the duty.
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

func serveHTTP(ctx context.Context, listen func() (net.Listener, error), handler http.Handler) error {
	listener, err := listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: smallServerTimeout}
	wait := closing.OnDone(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return ctx.Err()
}
