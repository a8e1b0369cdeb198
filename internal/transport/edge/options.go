// Package edge is the callers' HTTP server. It serves an OpenAI-compatible API
// for models, plain services, and the mounted batch API. It converts HTTP
// requests into requests of coordination/online and protects the instance from
// callers that send too much, send too slowly, or stop reading.
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
	"merlintiller/internal/transport/inputbudget"
)

// OnlineHandler serves online calls. *online.Handler implements it.
type OnlineHandler interface {
	Serve(ctx context.Context, req *online.Request, w online.Writer) online.Result
}

// Options configure an Edge.
type Options struct {
	// Listen opens the listener. It is called again if the supervisor restarts
	// the edge.
	Listen func() (net.Listener, error)
	Fleet  func() *protocol.Fleet
	Keys   *access.Keys
	Online OnlineHandler
	// Batch serves /v1/files and /v1/batches for authenticated callers.
	// access.FromContext returns the caller of a request. Batch may be nil.
	Batch http.Handler
	// Ready reports whether the instance has loaded the current configuration.
	// It is false after a start and after a long pause of the process until the
	// configuration is loaded. Nil means always ready.
	Ready  func() bool
	Logger log.Logger
	Limits Limits
	// Input bounds the memory that request headers take, with those of other listeners. Nil: they are not bounded.
	Input *inputbudget.Budget
}

// Limits protect the instance from excessive or slow requests. A zero field takes
// its default.
type Limits struct {
	// MaxConnections is the maximum number of open connections. One beyond
	// the limit takes the place of one without a request. Default 10,000: at
	// about 25 KB each, they fit into the memory of a small instance.
	MaxConnections int
	// MaxBody is the maximum size of a request body in bytes. Default 4 MiB.
	MaxBody int64
	// MaxBuffered is the maximum total size of the request bodies of all calls
	// in flight, in bytes. Default 256 MiB: large prompts sent with hundreds of
	// keys must not exhaust the memory that all callers share.
	MaxBuffered int64
	// MaxFile is the maximum size of an uploaded file in bytes. Default 512 MiB.
	MaxFile int64
	// MaxHeaderBytes is the maximum size of a request header in bytes. Default
	// 32 KiB.
	MaxHeaderBytes int
	// MaxHeaders is the maximum number of header lines. Default 100.
	MaxHeaders int
	// HeaderTimeout limits the time for reading a request header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time for reading a request body. Default 10 s.
	BodyTimeout time.Duration
	// FileTimeout limits the time for reading an uploaded file. Default 10 min.
	FileTimeout time.Duration
	// WriteTimeout limits the time of each write to a caller. When a write times
	// out, the call is cancelled at its target and the connection is closed.
	// Default 5 s.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. Default
	// 75 s: longer than the usual 60 s of load balancers, so that the load
	// balancer closes the connection first.
	IdleTimeout time.Duration
	// DrainDelay is the time for which a draining instance still accepts requests.
	// It covers the time that the load balancer and the platform's list
	// need to remove the instance. Default 5 s.
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
