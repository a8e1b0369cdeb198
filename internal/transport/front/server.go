package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"merlintiller/internal/closing"
	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
)

const (
	// headerTimeout ends a connection that does not send a whole head. It lies
	// above the bounds that operators set for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout ends a connection without a request. Callers use connections
	// again that were idle for most of the time that operators allow, which is
	// some seconds; closing first would cross their requests.
	idleTimeout = 90 * time.Second
	// headBytes bounds a request's head. Operators set tighter bounds.
	headBytes = 256 << 10
	// bodyBytes bounds a body where operators set no bound.
	bodyBytes = 16 << 20
	// defaultPatience is the time of a request whose caller says none.
	defaultPatience = 30 * time.Second
	// writeTimeout ends an answer whose caller takes nothing for so long.
	writeTimeout = 5 * time.Second
)

// Codec is how callers' requests and answers look on the wire.
type Codec struct {
	DecodeRequest    func(*http.Request) exchange.Request
	DecodeJobCall    func(*http.Request) (exchange.JobCall, bool)
	DecodeItems      func(body []byte) ([]jobs.Item, error)
	EncodeResults    func(total, after int, results []jobs.Result) ([]byte, error)
	EncodeRetryAfter func(time.Duration) string
}

// Quota holds organisations to their rates.
type Quota interface {
	Admit(organisation string) quota.Decision
	Refund(organisation string)
}

// Relay serves online requests.
type Relay interface {
	Serve(ctx context.Context, job *relay.RoutedRequest, sink relay.Sink) relay.Outcome
}

// Desk serves the calls of batch jobs.
type Desk interface {
	Submit(ctx context.Context, job *jobs.Job) batchjobs.Verdict
	Results(ctx context.Context, call batchjobs.ResultsCall) batchjobs.ResultsReply
	Body(ctx context.Context, call batchjobs.BodyCall) batchjobs.BodyReply
	Cancel(ctx context.Context, call batchjobs.JobCall) batchjobs.Verdict
}

// Options make a Front.
type Options struct {
	Listen func() (net.Listener, error)
	Codec  Codec
	Table  func() *route.Table
	Quota  Quota
	Relay  Relay
	Desk   Desk
	// NoJobs says whether no batch job can be kept now, and when its caller may come
	// back.
	NoJobs func() (retry time.Duration, none bool)
	Logger log.Logger
}

// Front is the server. It is a duty.
type Front struct {
	opts     Options
	inFlight atomic.Int64
	leaving  atomic.Bool
	server   atomic.Pointer[http.Server]
}

// New returns a server that does not listen yet.
func New(opts Options) *Front {
	f := &Front{opts: opts}
	metrics.GetOrCreateGauge("requests_in_flight", func() float64 { return float64(f.inFlight.Load()) })
	return f
}

// String names the duty.
func (f *Front) String() string { return "front" }

// Serve serves callers until ctx ends.
func (f *Front) Serve(ctx context.Context) error {
	listener, err := f.opts.Listen()
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headBytes,
		ErrorLog:          discardedErrors(f.opts.Logger),
	}
	f.server.Store(server)
	wait := closing.When(ctx, func() { _ = server.Close() })
	defer wait()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	w.Header()["Date"] = nil
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	f.serve(&visit{Front: f, w: w, r: r, began: time.Now(), table: f.opts.Table()})
}

// Leave asks callers to use other connections, with each answer.
func (f *Front) Leave() { f.leaving.Store(true) }

// InFlight counts the requests that run.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Finish takes no more connections and waits for the requests that run.
func (f *Front) Finish(ctx context.Context) error {
	server := f.server.Load()
	if server == nil {
		return nil
	}
	return trace.Wrap(server.Shutdown(ctx))
}
