package front

import (
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/quota"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
	"merlintiller/internal/transport/graceful"
)

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	*Front
	w          http.ResponseWriter
	r          *http.Request
	receivedAt time.Time
	table      *route.Table

	request      exchange.Request
	route        *route.Route
	organisation *route.Organisation
	// rate is the decision on the organisation's rate, zero before it is made.
	rate quota.Decision
	// responded is set once the head of a response was written.
	responded bool
	// bodyBytes is the number of bytes that are counted for the request's body, responseBytes
	// that for a response of this instance's own.
	bodyBytes, responseBytes int64
	// writeErr is the error of writing a part of the response.
	writeErr error
}

const (
	// noConfigRetryAfter is the retry delay while no configuration is loaded.
	noConfigRetryAfter = time.Second
	// shortRetryAfter is the retry delay for causes that are expected to end soon.
	shortRetryAfter = 300 * time.Millisecond
)

// serve decodes, authenticates and routes a request and responds to it.
func (f *Front) serve(c *callerRequest) {
	c.request = f.opts.Codec.DecodeRequest(c.r)
	if c.table == nil {
		c.reject(http.StatusServiceUnavailable, noConfigRetryAfter, "no_config")
		return
	}
	if !utf8.ValidString(c.request.ID) {
		// The store and targets give ids back as JSON, which would change this one.
		c.reject(http.StatusBadRequest, 0, "request_id_invalid_utf8")
		return
	}
	call, isJobCall := f.opts.Codec.DecodeJobCall(c.r)
	if isJobCall && c.table.HasBatchRoute(c.r.Host) {
		c.serveJobCall(call)
		return
	}
	if limit := c.table.Limits().HeaderBytes; limit > 0 && headerSize(c.r) > limit+headerSlack {
		c.reject(http.StatusRequestHeaderFieldsTooLarge, 0, "head_too_large")
		return
	}
	found, ok := c.table.Match(c.request.Host, c.request.Path)
	if isJobCall && c.serveEarlierJob(call, ok) {
		return
	}
	if !ok {
		c.rejectUnrouted()
		return
	}
	c.route = found
	if !c.authenticate(found.Public) || !c.readBody() {
		return
	}
	if found.Kind == route.Batch {
		c.submitJob()
		return
	}
	if c.refusesLate(c.receivedAt.Add(c.timeout())) {
		return
	}
	c.serveOnline()
}

// refusesLate refuses a request that may take until some time, if a shutdown would interrupt it before: its connection
// was opened before the listener was closed, or its body came slowly. Another instance can serve it whole.
func (c *callerRequest) refusesLate(until time.Time) bool {
	if c.beforeInterrupt(until).Equal(until) {
		return false
	}
	c.rejectLate()
	return true
}

func (c *callerRequest) rejectLate() {
	c.w.Header().Set("Retry-After", c.opts.Codec.EncodeRetryAfter(drainRetryAfter))
	c.reject(http.StatusServiceUnavailable, drainRetryAfter, "shutting_down")
}

// authenticate finds the caller's organisation. It rejects the request and returns
// false if a key is required and the request has no known key.
func (c *callerRequest) authenticate(public bool) bool {
	if caller, ok := c.table.OrganisationBySecret(c.request.Secret); ok {
		c.organisation = caller
		return true
	}
	if public || !c.table.RequiresKey() {
		return true
	}
	c.reject(http.StatusUnauthorized, 0, "unknown_key")
	return false
}

// organisationName returns the name of the caller's organisation, or "" if the
// caller has none.
func (c *callerRequest) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// headerSlack is the number of bytes by which a request header may exceed the
// operators' limit. Callers may count neither the request line nor the line ends; a
// header that is within the limit by the caller's own count must not be rejected.
const headerSlack = 1 << 10

// headerSize returns the size of a request header on the wire, including the request
// line.
func headerSize(r *http.Request) int64 {
	const (
		// lineExtra: two spaces, the version and the line end. fieldExtra: the
		// colon, a space and the line end.
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

// readBody reads the whole body, so that the request can be sent to another target
// after a failure.
//
// Without the read deadline, a caller that sends single bytes at long intervals would
// keep memory and a connection forever. The metric requests_in_flight would show
// requests that never end.
func (c *callerRequest) readBody() bool {
	limit := c.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.beforeInterrupt(c.receivedAt.Add(c.timeout()))); err != nil {
		c.abortCallerLeft("connection_closed")
	}
	body, err := c.readAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// If resetting the deadline fails, the connection is broken, and the next
		// read or write returns the error.
		_ = controller.SetReadDeadline(time.Time{})
		c.request.Body = body
		return true
	case errors.Is(err, errNoMemory):
		c.rejectWithoutMemory()
	case errors.As(err, &tooLarge):
		c.reject(http.StatusRequestEntityTooLarge, 0, "body_too_large")
	case errors.Is(err, os.ErrDeadlineExceeded) && c.interruptsAt.Load() != nil:
		c.rejectLate()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, 0, "body_too_slow")
	case c.r.Context().Err() != nil:
		c.abortCallerLeft("caller_left")
	default:
		c.reject(http.StatusBadRequest, 0, "body_unreadable")
	}
	return false
}

// errNoMemory: the bytes held for callers have reached their bound.
var errNoMemory = errors.New("held bytes are at their bound")

// firstBodyRead is the capacity in bytes with which the read of a counted body begins. It is doubled
// while the body arrives, so that a caller that announces a large body and does not send it
// takes no room from others.
const firstBodyRead = 4 << 10

// readAll reads a body to its end and counts its bytes.
func (c *callerRequest) readAll(from io.Reader) ([]byte, error) {
	if c.opts.HeldBytes == nil {
		return io.ReadAll(from)
	}
	if c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		return nil, nil
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := c.growBody(body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns a body with more capacity, or errNoMemory if it does not fit. One byte more than
// the announced length is enough to read the end of the body.
func (c *callerRequest) growBody(body []byte) ([]byte, error) {
	size := max(firstBodyRead, 2*cap(body))
	if announced := c.r.ContentLength + 1; announced > int64(len(body)) {
		size = int(min(int64(size), announced))
	}
	added := int64(size - cap(body))
	if !c.opts.HeldBytes.TakeBody(added) {
		return nil, errNoMemory
	}
	c.bodyBytes += added
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// releaseBody ends the count of the request's body, and of the parts of a body that was not read
// to its end.
func (c *callerRequest) releaseBody() {
	if c.bodyBytes > 0 {
		c.request.Body = nil
		c.opts.HeldBytes.ReturnBody(c.bodyBytes)
		c.bodyBytes = 0
	}
}

// rejectWithoutMemory rejects a request whose body or response does not fit beside the bytes that
// are held for callers.
func (c *callerRequest) rejectWithoutMemory() {
	levels := c.opts.HeldBytes.Levels()
	c.reject(http.StatusServiceUnavailable, shortRetryAfter, "no_memory",
		"answers_bytes", levels.Answers, "bodies_bytes", levels.Bodies, "bound_bytes", levels.Bound, "answers", levels.Holders)
}

// holdResponse counts bytes of the response until the request ends. It returns false if they don't
// fit.
func (c *callerRequest) holdResponse(size int64) bool {
	if c.opts.HeldBytes == nil || size <= 0 {
		return true
	}
	if !c.opts.HeldBytes.TakeResponse(c.responseBytes, size) {
		return false
	}
	c.responseBytes += size
	return true
}

// releaseResponse ends the count of the response's bytes.
func (c *callerRequest) releaseResponse() {
	if c.responseBytes > 0 {
		c.opts.HeldBytes.ReturnResponse(c.responseBytes)
		c.responseBytes = 0
	}
}

// reject responds to a request that did not run.
func (c *callerRequest) reject(status int, retryAfter time.Duration, reason string, more ...any) {
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", c.opts.Codec.EncodeRetryAfter(retryAfter))
	}
	c.respond(status, nil, "")
	c.log("refused", status, reason, append(more, "retry_ms", retryAfter.Milliseconds())...)
}

// responseBegins records that the response begins, or that there is none.
func (c *callerRequest) responseBegins() {
	if !c.responded {
		c.responded = true
		c.unanswered.Add(-1)
	}
}

// respond writes a complete response.
func (c *callerRequest) respond(status int, body []byte, contentType string) {
	if contentType != "" {
		c.w.Header().Set("Content-Type", contentType)
	}
	if len(body) > 0 {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.responseBegins()
	c.w.WriteHeader(status)
	c.writeErr = c.writeBody(body)
}

// writeChunk is the number of bytes of a body that a caller has to take within writeTimeout.
const writeChunk = 64 << 10

// writeBody writes a whole body. A caller that does not read loses its connection.
func (c *callerRequest) writeBody(body []byte) error {
	controller := http.NewResponseController(c.w)
	for chunk := range slices.Chunk(body, writeChunk) {
		if err := controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// abortCallerLeft ends a request whose caller disconnected before it was read whole. It
// closes the connection: net/http would otherwise respond with 200, which a caller that has
// only closed its sending side would take for a success.
func (c *callerRequest) abortCallerLeft(reason string) {
	c.log("caller_left", 0, reason)
	panic(http.ErrAbortHandler)
}

// answerPanic logs the panic of a handler and responds with an error. It must be deferred. If
// a response has begun, the connection is closed, so that the response does not look complete.
//
// Without it, net/http would close the connection without a response, and no log line would
// name the request.
func (c *callerRequest) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	outcome := "failed"
	if c.responded {
		outcome = "cut_off"
	}
	c.log(outcome, http.StatusInternalServerError, "panic", "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
	if c.responded {
		graceful.AbortResponse(c.r)
	}
	c.respond(http.StatusInternalServerError, nil, "")
}

// log writes the log line of a request's outcome and counts the outcome.
func (c *callerRequest) log(outcome string, status int, reason string, more ...any) {
	var version int64
	if c.table != nil {
		version = c.table.Version()
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	elapsed := time.Since(c.receivedAt)
	metrics.GetOrCreateCounter(`requests_total{outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
	fields := append([]any{
		"event", "request", "request", c.request.ID, "route", name, "organisation", c.organisationName(),
		"config", version, "outcome", outcome, "reason", reason, "status", status, "took_ms", elapsed.Milliseconds(),
	}, more...)
	fields = append(fields, c.rate.LogFields()...)
	if c.writeErr != nil {
		fields = append(fields, "write_err", c.writeErr)
	}
	_ = level.Info(c.opts.Logger).Log(fields...)
}

// newErrorLog returns a logger for the errors of the HTTP server, such as malformed
// requests.
func newErrorLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Info(logger), log.MessageKey("detail")), "", 0)
}
