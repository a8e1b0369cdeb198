package edge

import (
	"bytes"
	"encoding/json"
	stdlog "log"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"merlintiller/internal/coordination/online"
	"merlintiller/internal/protocol"
)

// errorBody is the body of every error response: OpenAI's error object with two
// additional fields, run_state and retry_after_ms.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    protocol.Code `json:"code"`
	Param   *string       `json:"param"`
	// RunState reports whether the request may have had an effect.
	RunState protocol.RunState `json:"run_state"`
	// RetryAfterMS is the delay before a retry in milliseconds; 0 means that the
	// request must not be retried.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusGatewayTimeout, status == http.StatusRequestTimeout:
		return "timeout_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func newErrorBody(refusal *protocol.Refusal, status int) errorBody {
	detail := errorDetail{
		Message:      refusal.Message,
		Type:         errorType(status),
		Code:         refusal.Code,
		RunState:     refusal.Run,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
	if refusal.Param != "" {
		detail.Param = &refusal.Param
	}
	return errorBody{Error: detail}
}

// writeRefusal writes the error response of a rejected request.
//
// X-Should-Retry tells OpenAI's client libraries whether to retry automatically.
// Without the header they retry after every 409 and 5xx status, including those of
// calls that are not idempotent and may have run.
func writeRefusal(w http.ResponseWriter, refusal *protocol.Refusal, status int) {
	counters.Add(string(refusal.Code), 1)
	writeErrorResponse(w, refusal, status)
}

func writeErrorResponse(w http.ResponseWriter, refusal *protocol.Refusal, status int) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(online.HeaderRunState, string(refusal.Run))
	header.Set("X-Should-Retry", strconv.FormatBool(refusal.RetryAfter > 0))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(refusal.RetryAfter), 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal, status))
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// errorEvent returns the server-sent event that reports a failure in a started
// stream. The stream's end marker is never sent after this event.
func errorEvent(refusal *protocol.Refusal) []byte {
	data, err := json.Marshal(newErrorBody(refusal, refusal.Code.HTTPStatus()))
	if err != nil {
		panic(err)
	}
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(data)
	event.WriteString("\n\n")
	return event.Bytes()
}

// errorLog returns a logger that writes net/http's errors as log events.
func errorLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(log.With(logger, "event", "http_error")), "", 0)
}
