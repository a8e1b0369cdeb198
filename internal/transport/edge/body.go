package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"merlintiller/internal/protocol"
)

const (
	drainRetryAfter = 100 * time.Millisecond
	startRetryAfter = time.Second
	// bufferRetryAfter is about the time of a call with a large body.
	bufferRetryAfter = time.Second
)

// reserve takes room for a body of the stated length, or the longest one.
func (e *Edge) reserve(x *exchange) bool {
	size := x.r.ContentLength
	if size < 0 || size > e.limits.MaxBody {
		size = e.limits.MaxBody
	}
	if e.buffered.Add(size) > e.limits.MaxBuffered {
		e.buffered.Add(-size)
		return false
	}
	x.reserved = size
	return true
}

func (e *Edge) release(x *exchange) {
	e.buffered.Add(-x.reserved)
}

// limitRead bounds the time to read the body. net/http sets it back at the
// next request of the connection.
func (e *Edge) limitRead(controller *http.ResponseController, limit time.Duration) {
	_ = controller.SetReadDeadline(time.Now().Add(limit))
}

// readBody reads the whole body before anything is decided, so that a request
// that is half sent holds no place and no tokens.
func (e *Edge) readBody(x *exchange) ([]byte, bool) {
	if !e.reserve(x) {
		x.w.Header().Set("Connection", "close")
		x.refuse(protocol.Refuse(protocol.CodeOverloaded, bufferRetryAfter, "too many large requests are in flight"))
		return nil, false
	}
	controller := http.NewResponseController(x.w)
	e.limitRead(controller, e.limits.BodyTimeout)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, e.limits.MaxBody))
	// Without a deadline from here on net/http notices a caller that leaves.
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	x.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(protocol.Refuse(protocol.CodeTooLarge, 0, "the body has more than %d bytes", tooLarge.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal := protocol.Refuse(protocol.CodeBadRequest, 0, "the body did not arrive within %s", e.limits.BodyTimeout)
		writeRefusal(x.w, refusal, http.StatusRequestTimeout)
	default:
		x.refuse(protocol.Refuse(protocol.CodeBadRequest, 0, "the body broke off"))
	}
	return nil, false
}
