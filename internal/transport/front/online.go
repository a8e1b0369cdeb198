package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/coordination/routed/relay"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/route"
)

var (
	firstByte = metrics.NewPrometheusHistogram("request_first_byte_seconds")
	waited    = metrics.NewPrometheusHistogram("request_wait_seconds")
)

// online serves a request by a target.
func (v *visit) online() {
	service, ok := v.route.Choose(v.request.ID)
	if !ok {
		v.refuse(http.StatusServiceUnavailable, lightRetry, "no_service")
		return
	}
	organisation := v.organisationName()
	if decision := v.opts.Quota.Admit(organisation); !decision.Admitted {
		v.refuse(http.StatusTooManyRequests, decision.Wait, "over_rate",
			"level", fmt.Sprintf("%.2f", decision.Level), "share", fmt.Sprintf("%.2f", decision.Share))
		return
	}
	sink := &sink{w: v.w, control: http.NewResponseController(v.w)}
	outcome := v.opts.Relay.Serve(v.r.Context(), &relay.RoutedRequest{
		Request: &v.request, Route: v.route, Service: service, Organisation: organisation,
		ReceivedAt: v.began, Deadline: v.began.Add(v.patience()),
	}, sink)
	if outcome.PossibleRuns == 0 {
		v.opts.Quota.Refund(organisation)
	}
	v.end(&outcome)
}

// patience is how long the request may take: as long as the caller waits, and
// not longer than the route allows.
func (v *visit) patience() time.Duration {
	patience := v.request.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if v.route.Timeout > 0 && v.route.Kind != route.Batch {
		patience = min(patience, v.route.Timeout)
	}
	return patience
}

// end tells the caller how its request ended, unless its answer told it.
func (v *visit) end(o *relay.Outcome) {
	if o.Attempts > 0 {
		waited.Update(o.PlacementTime.Seconds())
	}
	if o.AnswerStarted() {
		firstByte.Update(o.TimeToFirstByte.Seconds())
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
	v.log(outcome, o.Status, string(o.Reason), "target", o.Target, "attempts", o.Attempts, "runs", o.PossibleRuns,
		"waited_ms", o.PlacementTime.Milliseconds(), "busy", o.Busy, "slots", o.Slots, "broker", o.Broker,
		"first_byte_ms", o.TimeToFirstByte.Milliseconds(), "events", o.Events, "retry_ms", o.RetryAfter.Milliseconds())
	switch {
	case o.Completed():
	case o.AnswerStarted(), o.Reason == relay.CallerDisconnected:
		// An answer that ends early must not look whole.
		panic(http.ErrAbortHandler)
	default:
		if o.RetryAfter > 0 {
			v.w.Header().Set("Retry-After", v.opts.Codec.EncodeRetryAfter(o.RetryAfter))
		}
		v.answer(o.Status, nil, "")
	}
}

// sink passes an answer on to the caller's connection.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// SendHead implements relay.Sink.
func (s *sink) SendHead(reply *exchange.Reply) {
	header := s.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	s.w.WriteHeader(reply.Status)
}

// SendBody implements relay.Sink.
func (s *sink) SendBody(part []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.control.Flush()
}
