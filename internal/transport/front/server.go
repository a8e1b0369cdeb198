package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"merlintiller/internal/coordination/routed/answerbuffer"
	"merlintiller/internal/coordination/routed/batchjobs"
	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/jobs"
	"merlintiller/internal/state/route"
	"merlintiller/internal/transport/graceful"
	"merlintiller/internal/transport/inputbudget"
)

const (
	// headerTimeout limits the time for reading a request header. It is longer
	// than the limits that operators set for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout limits the time for which a connection is kept without a
	// request. Callers reuse connections that were idle for most of the time
	// that operators allow, which is some seconds. If the instance closed such a
	// connection first, the close would race with the caller's next request.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of a request header. Operators set lower
	// limits.
	maxHeaderBytes = 256 << 10
	// defaultMaxBodyBytes is the maximum size of a request body if operators set
	// no limit.
	defaultMaxBodyBytes = 16 << 20
	// defaultTimeout is the timeout of a request whose caller sets none.
	defaultTimeout = 30 * time.Second
	// writeTimeout limits the time of each write to a caller.
	writeTimeout = 5 * time.Second
	// heldWriteTimeout limits the time of each write of held parts. It is longer, since held bytes
	// are bounded. The kernel lets a blocked write go on when a third of the send buffer is free,
	// which is about 29 KB of the usual 87 KB: a write blocks for up to 29 s with a caller that
	// reads 1 KB/s. The relay writes less than that at once, so that a write blocks at most once.
	heldWriteTimeout = 30 * time.Second
	// drainRetryAfter is the retry delay while the instance shuts down. Another instance
	// can serve the request at once.
	drainRetryAfter = 0
)

// Codec decodes callers' requests and encodes responses.
type Codec struct {
	DecodeRequest    func(*http.Request) exchange.Request
	DecodeJobCall    func(*http.Request) (exchange.JobCall, bool)
	DecodeItems      func(body []byte) ([]jobs.Item, error)
	EncodeResults    func(total, after int, results []jobs.Result) ([]byte, error)
	EncodeRetryAfter func(time.Duration) string
}

// Quota enforces the rates of organisations.
type Quota interface {
	Admit(organisation string) quota.Decision
	Refund(organisation string)
}

// Relay serves online requests.
type Relay interface {
	Serve(ctx context.Context, request *relay.RoutedRequest, sink relay.Sink) relay.Outcome
}

// JobService serves the calls on batch jobs.
type JobService interface {
	Submit(ctx context.Context, job *jobs.Job) batchjobs.Verdict
	Results(ctx context.Context, call batchjobs.ResultsCall) batchjobs.ResultsReply
	Body(ctx context.Context, call batchjobs.BodyCall) batchjobs.BodyReply
	Cancel(ctx context.Context, call batchjobs.JobCall) batchjobs.Verdict
	// Exists reports whether a job is known to exist, without a read of the store.
	Exists(ctx context.Context, job, organisation string) bool
}

// Options configure a Front.
type Options struct {
	Listen func() (net.Listener, error)
	Codec  Codec
	Table  func() *route.Table
	Quota  Quota
	Relay  Relay
	Jobs   JobService
	// JobsUnavailable reports whether batch jobs can't be stored now, and the delay
	// before a retry.
	JobsUnavailable func() (retryAfter time.Duration, unavailable bool)
	// Admit reports whether a new connection is accepted while others are open.
	Admit func(others Connections) bool
	// MaxConnections bounds the open connections, 0 if they are not bounded. Input, if set, bounds the memory that request
	// heads take.
	MaxConnections int
	Input          *inputbudget.Budget
	// HeldBytes counts request bodies and bounds them. If it is nil, only the size of each body
	// is limited.
	HeldBytes *answerbuffer.Budget
	Logger    log.Logger
}

// Front is the callers' HTTP server. It implements suture.Service.
type Front struct {
	opts     Options
	inFlight atomic.Int64
	// unanswered counts the requests in flight whose response has not begun.
	unanswered atomic.Int64
	draining   atomic.Bool
	// interruptsAt is when a shutdown interrupts the requests in flight, nil before it closes the listener.
	interruptsAt atomic.Pointer[time.Time]
	server       *graceful.Service
	// requests is the parent of the context of every request. interrupt cancels it.
	requests  context.Context
	interrupt context.CancelCauseFunc
}

// New returns a Front. Serve opens its listener.
func New(opts Options) *Front {
	f := &Front{opts: opts}
	f.requests, f.interrupt = context.WithCancelCause(context.Background())
	f.server = graceful.NewService(opts.Listen, f.serverOptions)
	metrics.GetOrCreateGauge("requests_in_flight", func() float64 { return float64(f.inFlight.Load()) })
	return f
}

// String returns the name of the service.
func (f *Front) String() string { return "front" }

// Serve serves callers until ctx is cancelled.
func (f *Front) Serve(ctx context.Context) error {
	return f.server.Serve(ctx)
}

func (f *Front) serverOptions() graceful.Options {
	return graceful.Options{
		Name: "callers",
		HTTP: &http.Server{
			Handler:           f,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          newErrorLog(f.opts.Logger),
			BaseContext:       func(net.Listener) context.Context { return f.requests },
		},
		Refusal:     f.writeUnreadRefusal,
		IdleRefusal: f.writeUnreadRefusal,
		Admit:       f.admit,

		MaxConnections: f.opts.MaxConnections,
		MaxHead:        f.maxHead,
		Input:          f.opts.Input,

		Interrupt: func() { f.interrupt(relay.ErrInterrupted) },
		Logger:    f.opts.Logger,
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	w.Header()["Date"] = nil
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f.unanswered.Add(1)
	c := &callerRequest{Front: f, w: w, r: r, receivedAt: time.Now(), table: f.opts.Table()}
	defer c.responseBegins()
	defer c.releaseBody()
	defer c.releaseResponse()
	defer c.answerPanic()
	f.serve(c)
}

// maxHead returns the largest size of a request header that is read.
func (f *Front) maxHead() int {
	table := f.opts.Table()
	if table == nil || table.Limits().HeaderBytes == 0 {
		return maxHeaderBytes
	}
	return int(min(table.Limits().HeaderBytes+headerSlack, maxHeaderBytes))
}

// admit reports whether a new connection is accepted. unread is the number of open ones on which no
// request has begun.
func (f *Front) admit(open, unread int) bool {
	if f.opts.Admit == nil {
		return true
	}
	return f.opts.Admit(Connections{Open: open, Waiting: unread + int(f.unanswered.Load())})
}

// StartDraining makes each response ask its caller to close the connection.
func (f *Front) StartDraining() { f.draining.Store(true) }

// writeUnreadRefusal writes the response to a request that the instance does not read because
// it shuts down, or because the connection was idle for too long.
func (f *Front) writeUnreadRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", f.opts.Codec.EncodeRetryAfter(drainRetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// InFlight returns the number of requests in flight.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Shutdown closes the listener and waits for the requests in flight. Those that are left when
// ctx is done get an error response, unless their response has begun. A request that is read from now on
// is refused if it may take longer than that.
func (f *Front) Shutdown(ctx context.Context) error {
	if at, limited := ctx.Deadline(); limited {
		f.interruptsAt.Store(&at)
	}
	return f.server.Shutdown(ctx)
}

// beforeInterrupt returns the earlier one of a time and that at which a shutdown interrupts the requests in flight.
func (f *Front) beforeInterrupt(at time.Time) time.Time {
	if limit := f.interruptsAt.Load(); limit != nil && limit.Before(at) {
		return *limit
	}
	return at
}
