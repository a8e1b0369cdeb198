package edge

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
)

func (e *Edge) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.healthz)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.Handle("POST /v1/chat/completions", e.authenticated(e.completion))
	mux.Handle("POST /v1/completions", e.authenticated(e.completion))
	mux.Handle("GET /v1/models", e.authenticated(e.models))
	mux.Handle("GET /v1/models/{model...}", e.authenticated(e.model))
	mux.Handle("/v1/services/{service}/{rest...}", e.authenticated(e.service))
	if e.opts.Batch != nil {
		for _, path := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
			mux.Handle(path, e.authenticated(e.batch))
		}
	}
	mux.Handle("/", e.authenticated(notFound))
	return e.guard(mux)
}

// exchange is one authenticated request.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	caller access.Caller
	secret string
	// reserved is the number of bytes counted against Limits.MaxBuffered for the
	// body.
	reserved int64
}

// reject writes a refusal with the HTTP status of its code.
func (x *exchange) reject(refusal *protocol.Refusal) {
	writeRefusal(x.w, refusal, refusal.Code.HTTPStatus())
}

// guard counts the requests in flight, assigns each request an ID, rejects
// requests with too many header lines, and closes connections after their response
// while the instance drains.
func (e *Edge) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		id := requestID(r)
		w.Header().Set(online.HeaderRequestID, id)
		if e.phase.Load() != phaseServing {
			w.Header().Set("Connection", "close")
		}
		if count := headerLines(r.Header); count > e.limits.MaxHeaders {
			w.Header().Set("Connection", "close")
			refusal := protocol.Refuse(protocol.CodeTooLarge, 0, "request has %d header lines; the limit is %d", count, e.limits.MaxHeaders)
			writeRefusal(w, refusal, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r.WithContext(protocol.WithRequestID(r.Context(), id)))
	})
}

func headerLines(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// maxRequestID is the maximum length in bytes of a request ID set by a caller.
const maxRequestID = 128

var (
	idPrefix = randomPrefix()
	idCount  atomic.Uint64
)

func randomPrefix() string {
	random := make([]byte, 6)
	_, _ = rand.Read(random)
	return "req-" + hex.EncodeToString(random) + "-"
}

// requestID returns the caller's request ID if it is short enough and can be
// logged without quoting, otherwise a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(online.HeaderRequestID)
	if id == "" || len(id) > maxRequestID || !isLoggable(id) {
		return idPrefix + strconv.FormatUint(idCount.Add(1), 10)
	}
	return id
}

// isLoggable reports whether text can be logged as a logfmt value without quoting.
func isLoggable(text string) bool {
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' || b == '"' || b == '=' {
			return false
		}
	}
	return true
}

// authenticated wraps a handler with the readiness check and the authentication of
// the caller.
func (e *Edge) authenticated(next func(*exchange)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: protocol.RequestID(r.Context())}
		if refusal := e.checkServing(); refusal != nil {
			x.reject(refusal)
			return
		}
		x.secret = access.BearerToken(r.Header.Get("Authorization"))
		caller, refusal := e.opts.Keys.Authenticate(x.secret)
		if refusal != nil {
			x.reject(refusal)
			return
		}
		x.caller = caller
		defer e.release(x)
		next(x)
	})
}

// checkServing returns a refusal if the instance does not accept requests now.
func (e *Edge) checkServing() *protocol.Refusal {
	if e.phase.Load() == phaseRejecting {
		return drainingRefusal()
	}
	if e.opts.Ready != nil && !e.opts.Ready() {
		return protocol.Refuse(protocol.CodeInstanceStarting, startRetryAfter, "the instance has not loaded the current configuration yet")
	}
	return nil
}

// drainingRefusal returns the refusal of a request that a draining instance does not run.
func drainingRefusal() *protocol.Refusal {
	return protocol.Refuse(protocol.CodeDraining, drainRetryAfter, "the instance is shutting down; send the request again")
}

// writeDrainingRefusal writes the refusal of a request that a draining instance does not
// read.
func writeDrainingRefusal(w http.ResponseWriter) {
	refusal := drainingRefusal()
	writeErrorResponse(w, refusal, refusal.Code.HTTPStatus())
}

// writeIdleRefusal writes the refusal of a request that arrives as its connection is closed
// because it was idle.
func writeIdleRefusal(w http.ResponseWriter) {
	refusal := protocol.Refuse(protocol.CodeConnectionIdle, drainRetryAfter, "the connection was idle for too long; send the request again")
	writeErrorResponse(w, refusal, refusal.Code.HTTPStatus())
}

func (e *Edge) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz serves the load balancer's readiness check.
func (e *Edge) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.phase.Load() != phaseServing:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.opts.Ready != nil && !e.opts.Ready():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func notFound(x *exchange) {
	x.reject(protocol.Refuse(protocol.CodeNotFound, 0, "no such path: %s %s", x.r.Method, x.r.URL.Path))
}

// batch forwards a request to the batch API. Writes have the same timeout as those
// of online calls: the connection of a caller that stops reading is closed.
func (e *Edge) batch(x *exchange) {
	controller := http.NewResponseController(x.w)
	if x.r.ContentLength != 0 {
		e.setReadDeadline(controller, e.limits.FileTimeout)
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, e.limits.MaxFile)
	limited := &timedResponseWriter{ResponseWriter: x.w, writer: newTimedWriter(x.w, e.limits.WriteTimeout)}
	e.opts.Batch.ServeHTTP(limited, x.r.WithContext(access.WithCaller(x.r.Context(), x.caller)))
	limited.writer.clearDeadline()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(online.HeaderRunState, string(protocol.Completed))
	_ = json.NewEncoder(w).Encode(value)
}
