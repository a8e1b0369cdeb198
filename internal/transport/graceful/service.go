package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"

	"merlintiller/internal/closing"
)

// Service opens a listener and serves HTTP on it. It implements suture.Service.
type Service struct {
	listen func() (net.Listener, error)
	create func() Options
	server atomic.Pointer[Server]
}

// NewService returns a Service. listen and create are called at each start, since the
// supervisor may start the service again.
func NewService(listen func() (net.Listener, error), create func() Options) *Service {
	return &Service{listen: listen, create: create}
}

// Serve implements suture.Service. It closes all connections when ctx is done; for a
// graceful shutdown, call Shutdown before. The requests in flight continue after that until
// ctx is done.
func (s *Service) Serve(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := New(s.create())
	s.server.Store(server)
	wait := closing.OnDone(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// Serving reports whether the service has opened its listener.
func (s *Service) Serving() bool { return s.server.Load() != nil }

// Shutdown shuts the server down as Server.Shutdown does.
func (s *Service) Shutdown(ctx context.Context) error {
	server := s.server.Load()
	if server == nil {
		return nil
	}
	return server.Shutdown(ctx)
}
