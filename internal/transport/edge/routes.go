package edge

import (
	"context"
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
	mux.HandleFunc("GET /healthz", e.healthy)
	mux.HandleFunc("GET /readyz", e.ready)
	mux.Handle("POST /v1/chat/completions", e.caller(e.completion))
	mux.Handle("POST /v1/completions", e.caller(e.completion))
	mux.Handle("GET /v1/models", e.caller(e.models))
	mux.Handle("GET /v1/models/{model...}", e.caller(e.model))
	mux.Handle("/v1/services/{service}/{rest...}", e.caller(e.service))
	if e.opts.Batch != nil {
		for _, path := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
			mux.Handle(path, e.caller(e.batch))
		}
	}
	mux.Handle("/", e.caller(notFound))
	return e.guard(mux)
}

// exchange is one authenticated request.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	caller access.Caller
	secret string
	// reserved is what the body takes of Limits.MaxBuffered.
	reserved int64
}

// refuse answers with the status that goes with the refusal's code.
func (x *exchange) refuse(refusal *protocol.Refusal) {
	writeRefusal(x.w, refusal, refusal.Code.HTTPStatus())
}

type requestIDKey struct{}

// guard counts requests, names each one and sheds what no handler may see.
func (e *Edge) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		id := requestID(r)
		w.Header().Set(online.HeaderRequestID, id)
		if e.phase.Load() != serving {
			w.Header().Set("Connection", "close")
		}
		if count := headerLines(r.Header); count > e.limits.MaxHeaders {
			w.Header().Set("Connection", "close")
			refusal := protocol.Refuse(protocol.CodeTooLarge, 0, "%d header lines; at most %d are taken", count, e.limits.MaxHeaders)
			writeRefusal(w, refusal, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func headerLines(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// maxRequestID bounds the ids that are taken over from callers.
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

// requestID is the caller's own, if it can stand in a log line, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(online.HeaderRequestID)
	if id == "" || len(id) > maxRequestID || !plainText(id) {
		return idPrefix + strconv.FormatUint(idCount.Add(1), 10)
	}
	return id
}

func plainText(text string) bool {
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' || b == '"' || b == '=' {
			return false
		}
	}
	return true
}

// caller authenticates a request before its handler.
func (e *Edge) caller(next func(*exchange)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := r.Context().Value(requestIDKey{}).(string)
		x := &exchange{w: w, r: r, id: id}
		if refusal := e.mayServe(); refusal != nil {
			x.refuse(refusal)
			return
		}
		x.secret = access.BearerToken(r.Header.Get("Authorization"))
		caller, refusal := e.opts.Keys.Authenticate(x.secret)
		if refusal != nil {
			x.refuse(refusal)
			return
		}
		x.caller = caller
		defer e.release(x)
		next(x)
	})
}

func (e *Edge) mayServe() *protocol.Refusal {
	if e.phase.Load() == refusing {
		return protocol.Refuse(protocol.CodeDraining, drainRetryAfter, "the instance is leaving; send the request again")
	}
	if e.opts.Ready != nil && !e.opts.Ready() {
		return protocol.Refuse(protocol.CodeInstanceStarting, startRetryAfter, "the instance does not know the configuration in force yet")
	}
	return nil
}

func (e *Edge) healthy(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready is what the balancer asks.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.phase.Load() != serving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.opts.Ready != nil && !e.opts.Ready():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func notFound(x *exchange) {
	x.refuse(protocol.Refuse(protocol.CodeNotFound, 0, "no such path: %s %s", x.r.Method, x.r.URL.Path))
}

// batch passes a request on to the batch API. Its answers are limited like
// those of online calls: a caller that stops reading is shed.
func (e *Edge) batch(x *exchange) {
	controller := http.NewResponseController(x.w)
	if x.r.ContentLength != 0 {
		e.limitRead(controller, e.limits.FileTimeout)
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, e.limits.MaxFile)
	limited := &limitedWriter{ResponseWriter: x.w, writer: newWriter(x.w, e.limits.WriteTimeout)}
	e.opts.Batch.ServeHTTP(limited, x.r.WithContext(access.WithCaller(x.r.Context(), x.caller)))
	limited.writer.end()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(online.HeaderRunState, string(protocol.Completed))
	_ = json.NewEncoder(w).Encode(value)
}
