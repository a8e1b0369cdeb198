package front

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
	"merlintiller/internal/transport/graceful"
)

var (
	timeToFirstByte = metrics.NewPrometheusHistogram("request_first_byte_seconds")
	placementWait   = metrics.NewPrometheusHistogram("request_wait_seconds")
)

// serveOnline serves a request at a target.
func (c *callerRequest) serveOnline() {
	service, ok := c.route.Choose(c.streamID())
	if !ok {
		c.reject(http.StatusServiceUnavailable, shortRetryAfter, "no_service")
		return
	}
	organisation := c.organisationName()
	c.rate = c.opts.Quota.Admit(organisation)
	if !c.rate.Admitted {
		c.rejectByRate()
		return
	}
	sink := &responseSink{request: c, controller: http.NewResponseController(c.w)}
	outcome := c.opts.Relay.Serve(c.r.Context(), &relay.RoutedRequest{
		Request: &c.request, Route: c.route, Service: service, Organisation: organisation, Weight: c.table.Weight(c.organisation),
		ReceivedAt: c.receivedAt, Deadline: c.receivedAt.Add(c.timeout()), ReleaseBody: c.releaseBody,
	}, sink)
	if outcome.PossibleRuns == 0 {
		c.opts.Quota.Refund(organisation)
	}
	c.reportOutcome(&outcome)
}

// rejectByRate responds to a request that the organisation's rate does not allow, or of which
// that is not known.
func (c *callerRequest) rejectByRate() {
	switch {
	case c.rate.Early:
		c.reject(http.StatusServiceUnavailable, c.rate.Wait, "rates_unknown")
	case c.rate.Paced:
		c.reject(http.StatusTooManyRequests, c.rate.Wait, "over_share")
	default:
		c.reject(http.StatusTooManyRequests, c.rate.Wait, "over_rate")
	}
}

// streamID returns the id of the request that began the stream: another one if the caller takes
// a stream up, which then goes on at the service that it began at.
func (c *callerRequest) streamID() string {
	if c.request.After != exchange.FromStart && c.request.Resumes != "" {
		return c.request.Resumes
	}
	return c.request.ID
}

// timeout returns the maximum duration of the request: the time that the caller
// waits, but at most the time that the route allows.
func (c *callerRequest) timeout() time.Duration {
	timeout := c.request.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 && c.route.Kind != route.Batch {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout
}

// reportOutcome records the outcome of a request and, unless the target's response
// was already sent, responds to the caller.
func (c *callerRequest) reportOutcome(o *relay.Outcome) {
	if o.Attempts > 0 {
		placementWait.Update(o.PlacementTime.Seconds())
	}
	if o.AnswerStarted() {
		timeToFirstByte.Update(o.TimeToFirstByte.Seconds())
	}
	outcome := "refused"
	switch {
	case o.Completed():
		outcome = "answered"
	case o.AnswerStarted():
		outcome = "cut_off"
	case o.Reason == relay.CallerDisconnected:
		outcome = "caller_left"
	case o.PossibleRuns > 0:
		outcome = "failed"
	}
	fields := []any{
		"target", o.Target, "attempts", o.Attempts, "runs", o.PossibleRuns,
		"waited_ms", o.PlacementTime.Milliseconds(), "busy", o.Busy, "slots", o.Slots, "broker", o.Broker,
		"first_byte_ms", o.TimeToFirstByte.Milliseconds(), "events", o.Events, "retry_ms", o.RetryAfter.Milliseconds(),
		"resumes", c.request.Resumes, "stream_version", o.Origin.Version, "version_source", o.Origin.Source,
		"version_age_ms", o.Origin.Age.Milliseconds(),
	}
	fields = append(fields, o.QueueFields()...)
	if c.opts.HeldBytes != nil {
		fields = append(fields, "held_bytes", o.HeldBytes, "caller_lag_ms", o.CallerLag.Milliseconds(), "read_stopped_ms", o.ReadStopped.Milliseconds())
	}
	fields = append(fields, o.Expected.LogFields()...)
	if o.Closure != nil {
		fields = append(fields, o.Closure.LogFields()...)
	}
	c.log(outcome, o.Status, string(o.Reason), fields...)
	switch {
	case o.Completed():
	case o.AnswerStarted(), o.Reason == relay.CallerDisconnected:
		graceful.AbortResponse(c.r)
	default:
		if o.RetryAfter > 0 {
			c.w.Header().Set("Retry-After", c.opts.Codec.EncodeRetryAfter(o.RetryAfter))
		}
		c.respond(o.Status, nil, "")
	}
}

// responseSink writes a response to the caller's connection. It implements relay.BufferedSink.
type responseSink struct {
	request    *callerRequest
	controller *http.ResponseController

	mu sync.Mutex
	// aborted is set once no write may begin any more.
	aborted bool
}

// SendHead implements relay.Sink.
func (s *responseSink) SendHead(reply *exchange.Reply) {
	header := s.request.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		// Prevents net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	s.request.responseBegins()
	s.request.w.WriteHeader(reply.Status)
}

// SendBody implements relay.Sink.
func (s *responseSink) SendBody(part []byte) error {
	s.request.writeErr = s.write(part)
	return s.request.writeErr
}

// SendParts implements relay.BufferedSink.
func (s *responseSink) SendParts(parts [][]byte) error {
	s.request.writeErr = s.writeParts(parts)
	return s.request.writeErr
}

func (s *responseSink) writeParts(parts [][]byte) error {
	if err := s.beginWrite(); err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := s.request.w.Write(part); err != nil {
			return err
		}
	}
	return s.controller.Flush()
}

// beginWrite sets the time limit of a write, unless Abort was called.
func (s *responseSink) beginWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted {
		return net.ErrClosed
	}
	if err := s.controller.SetWriteDeadline(time.Now().Add(heldWriteTimeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	return nil
}

// Abort implements relay.BufferedSink.
func (s *responseSink) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	// If it fails, the connection is closed, and the write has failed already.
	_ = s.controller.SetWriteDeadline(time.Now())
}

func (s *responseSink) write(part []byte) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if _, err := s.request.w.Write(part); err != nil {
		return err
	}
	return s.controller.Flush()
}
