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

// errorBody is the form of every error, OpenAI's with two fields more.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    protocol.Code `json:"code"`
	Param   *string       `json:"param"`
	// RunState says whether the request may have had an effect.
	RunState protocol.RunState `json:"run_state"`
	// RetryAfterMS is when to come back; 0 says not to.
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
	case status == http.StatusGatewayTimeout:
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

// writeRefusal answers a refused request.
//
// X-Should-Retry tells OpenAI's clients whether to send again on their own.
// Without it they repeat every 409 and 5xx, also that of a call that may have
// run and may not be repeated.
func writeRefusal(w http.ResponseWriter, refusal *protocol.Refusal, status int) {
	published.Add(string(refusal.Code), 1)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(online.HeaderRunState, string(refusal.Run))
	header.Set("X-Should-Retry", strconv.FormatBool(refusal.RetryAfter > 0))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(refusal.RetryAfter), 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal, status))
}

func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// errorEvent tells of a failure within a begun stream. The end mark is never
// sent after it.
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

// errorLog passes net/http's complaints on as log events.
func errorLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(log.With(logger, "event", "http_error")), "", 0)
}
