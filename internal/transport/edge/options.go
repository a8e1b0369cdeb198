// Package edge serves the callers over HTTP: an OpenAI-compatible API for
// models, plain services, and the mounted batch API. It turns requests into
// values for coordination/online and shields the instance from callers that
// send too much, too slowly, or don't read.
package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/defaults"
	"merlintiller/internal/protocol"
)

// Path serves online calls. *online.Handler implements it.
type Path interface {
	Serve(ctx context.Context, req *online.Request, w online.Writer) online.Result
}

// Options set up an Edge.
type Options struct {
	// Listen opens the listener. It is called again if the duty restarts.
	Listen func() (net.Listener, error)
	Fleet  func() *protocol.Fleet
	Keys   *access.Keys
	Online Path
	// Batch serves /v1/files and /v1/batches for authenticated callers, who
	// are found by access.FromContext. May be nil.
	Batch http.Handler
	// Ready reports whether the instance knows the configuration that it has
	// to serve by: after its start, and again after a long pause. Nil is
	// always ready.
	Ready  func() bool
	Logger log.Logger
	Limits Limits
}

// Limits shield the instance. A zero field takes its default.
type Limits struct {
	// MaxConnections bounds the open connections; more are closed at once.
	// Default 10,000: about 25 KB each stays within a small instance.
	MaxConnections int
	// MaxBody bounds a request body in bytes. Default 4 MiB.
	MaxBody int64
	// MaxBuffered bounds the bodies in memory of all calls in flight, in
	// bytes. Default 256 MiB: hundreds of keys with large prompts must not
	// take the memory that everyone's calls need.
	MaxBuffered int64
	// MaxFile bounds an uploaded file in bytes. Default 512 MiB.
	MaxFile int64
	// MaxHeaderBytes bounds the header. Default 32 KiB.
	MaxHeaderBytes int
	// MaxHeaders bounds the number of header lines. Default 100.
	MaxHeaders int
	// HeaderTimeout bounds the reading of a header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the reading of a body. Default 10 s.
	BodyTimeout time.Duration
	// FileTimeout bounds the reading of an uploaded file. Default 10 min.
	FileTimeout time.Duration
	// WriteTimeout is how long a caller may let a write wait. Default 5 s:
	// then the call is cancelled at its target and the connection closed.
	WriteTimeout time.Duration
	// IdleTimeout closes unused connections. Default 75 s, longer than the
	// usual 60 s of balancers, so that the balancer closes first.
	IdleTimeout time.Duration
	// DrainDelay is how long a leaving instance still takes requests: the time
	// the balancer and the platform's list need to notice. Default 5 s.
	DrainDelay time.Duration
}

func (l Limits) withDefaults() Limits {
	defaults.SetPositive(&l.MaxConnections, 10_000)
	defaults.SetPositive(&l.MaxBody, 4<<20)
	defaults.SetPositive(&l.MaxBuffered, 256<<20)
	defaults.SetPositive(&l.MaxFile, 512<<20)
	defaults.SetPositive(&l.MaxHeaderBytes, 32<<10)
	defaults.SetPositive(&l.MaxHeaders, 100)
	defaults.SetPositive(&l.HeaderTimeout, 5*time.Second)
	defaults.SetPositive(&l.BodyTimeout, 10*time.Second)
	defaults.SetPositive(&l.FileTimeout, 10*time.Minute)
	defaults.SetPositive(&l.WriteTimeout, 5*time.Second)
	defaults.SetPositive(&l.IdleTimeout, 75*time.Second)
	defaults.SetPositive(&l.DrainDelay, 5*time.Second)
	return l
}
