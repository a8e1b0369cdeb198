package front

import (
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

// visit is one request of a caller.
type visit struct {
	*Front
	w     http.ResponseWriter
	r     *http.Request
	began time.Time
	table *route.Table

	request      exchange.Request
	route        *route.Route
	organisation *route.Organisation
}

const (
	// noConfigRetry is told while no configuration is known.
	noConfigRetry = time.Second
	// lightRetry is told when the cause is expected to pass at once.
	lightRetry = 300 * time.Millisecond
)

// serve finds out what the request is and answers it.
func (f *Front) serve(v *visit) {
	v.request = f.opts.Codec.DecodeRequest(v.r)
	if v.table == nil {
		v.refuse(http.StatusServiceUnavailable, noConfigRetry, "no_config")
		return
	}
	if call, ok := f.opts.Codec.DecodeJobCall(v.r); ok && v.table.HasBatchRoute(v.r.Host) {
		v.jobCall(call)
		return
	}
	if most := v.table.Limits().HeaderBytes; most > 0 && headSize(v.r) > most+headSlack {
		v.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, "head_too_large")
		return
	}
	found, ok := v.table.Match(v.request.Host, v.request.Path)
	if !ok {
		v.refuse(http.StatusNotFound, 0, "no_route")
		return
	}
	v.route = found
	if !v.authenticate(found.Public) || !v.readBody() {
		return
	}
	if found.Kind == route.Batch {
		v.submit()
		return
	}
	v.online()
}

// authenticate finds the caller's organisation.
func (v *visit) authenticate(public bool) bool {
	if caller, ok := v.table.OrganisationBySecret(v.request.Secret); ok {
		v.organisation = caller
		return true
	}
	if public || !v.table.RequiresKey() {
		return true
	}
	v.refuse(http.StatusUnauthorized, 0, "unknown_key")
	return false
}

func (v *visit) organisationName() string {
	if v.organisation == nil {
		return ""
	}
	return v.organisation.Name
}

// headSlack is how much larger than the operators' bound a head may be. Callers may
// count neither the request line nor the ends of lines; one that keeps to the bound
// by its own count must not be refused.
const headSlack = 1 << 10

// headSize is the size of a request's head on the wire.
func headSize(r *http.Request) int64 {
	const (
		// space, space, version and the end of the line; colon, space and end.
		lineExtra  = 12
		fieldExtra = 4
	)
	size := len(r.Method) + len(r.RequestURI) + lineExtra + len("Host") + len(r.Host) + fieldExtra
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldExtra
		}
	}
	return int64(size)
}

// readBody reads the whole body, so that the request can be sent again.
//
// What goes wrong without the bound on its time: a caller that sends a byte now
// and then holds memory and a connection for good. It would show as requests in
// flight that never end.
func (v *visit) readBody() bool {
	most := v.table.Limits().BodyBytes
	if most <= 0 {
		most = bodyBytes
	}
	control := http.NewResponseController(v.w)
	if err := control.SetReadDeadline(v.began.Add(v.patience())); err != nil {
		v.gone("connection_closed")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(v.w, v.r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// A failure shows as the end of the connection, as any other.
		_ = control.SetReadDeadline(time.Time{})
		v.request.Body = body
		return true
	case errors.As(err, &tooLarge):
		v.refuse(http.StatusRequestEntityTooLarge, 0, "body_too_large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		v.refuse(http.StatusRequestTimeout, 0, "body_too_slow")
	case v.r.Context().Err() != nil:
		v.gone("caller_left")
	default:
		v.refuse(http.StatusBadRequest, 0, "body_unreadable")
	}
	return false
}

// refuse answers a request that did not run.
func (v *visit) refuse(status int, retry time.Duration, reason string, more ...any) {
	if retry > 0 {
		v.w.Header().Set("Retry-After", v.opts.Codec.EncodeRetryAfter(retry))
	}
	v.answer(status, nil, "")
	v.log("refused", status, reason, append(more, "retry_ms", retry.Milliseconds())...)
}

// answer sends a whole answer.
func (v *visit) answer(status int, body []byte, kind string) {
	if kind != "" {
		v.w.Header().Set("Content-Type", kind)
	}
	v.w.WriteHeader(status)
	if len(body) > 0 {
		// A failed write shows as the caller's end of the connection.
		_, _ = v.w.Write(body)
	}
}

// gone notes a caller that left before it was answered.
func (v *visit) gone(reason string) {
	v.log("caller_left", 0, reason)
}

// log writes the line of a request's outcome.
func (v *visit) log(outcome string, status int, reason string, more ...any) {
	var version int64
	if v.table != nil {
		version = v.table.Version()
	}
	name := ""
	if v.route != nil {
		name = v.route.Name
	}
	took := time.Since(v.began)
	metrics.GetOrCreateCounter(`requests_total{outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
	fields := append([]any{
		"event", "request", "request", v.request.ID, "route", name, "organisation", v.organisationName(),
		"config", version, "outcome", outcome, "reason", reason, "status", status, "took_ms", took.Milliseconds(),
	}, more...)
	_ = level.Info(v.opts.Logger).Log(fields...)
}

// discardedErrors logs what the HTTP server reports, such as malformed requests.
func discardedErrors(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Info(logger), log.MessageKey("detail")), "", 0)
}
