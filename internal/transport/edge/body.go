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
	// bufferRetryAfter is the approximate duration of a call with a large body.
	bufferRetryAfter = time.Second
)

// reserve counts a body of the stated length against Limits.MaxBuffered. If the
// length is unknown or too large, reserve counts Limits.MaxBody. It returns
// false if the limit is reached.
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

// release subtracts the bytes that reserve counted for x.
func (e *Edge) release(x *exchange) {
	e.buffered.Add(-x.reserved)
}

// setReadDeadline limits the time for reading the request body. net/http resets
// the deadline at the next request of the connection.
func (e *Edge) setReadDeadline(controller *http.ResponseController, limit time.Duration) {
	_ = controller.SetReadDeadline(time.Now().Add(limit))
}

// readBody reads the whole body before the request is admitted, so that a
// request of which half is sent occupies no slot and consumes no tokens.
func (e *Edge) readBody(x *exchange) ([]byte, bool) {
	if !e.reserve(x) {
		x.w.Header().Set("Connection", "close")
		x.reject(protocol.Refuse(protocol.CodeOverloaded, bufferRetryAfter, "too many large requests are in flight"))
		return nil, false
	}
	controller := http.NewResponseController(x.w)
	e.setReadDeadline(controller, e.limits.BodyTimeout)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, e.limits.MaxBody))
	// net/http detects a disconnected caller only if no read deadline is set.
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	x.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.reject(protocol.Refuse(protocol.CodeTooLarge, 0, "request body exceeds %d bytes", tooLarge.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal := protocol.Refuse(protocol.CodeBadRequest, 0, "request body was not received within %s", e.limits.BodyTimeout)
		writeRefusal(x.w, refusal, http.StatusRequestTimeout)
	default:
		x.reject(protocol.Refuse(protocol.CodeBadRequest, 0, "request body ended early"))
	}
	return nil, false
}
