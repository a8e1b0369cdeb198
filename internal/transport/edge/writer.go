package edge

import (
	"net/http"
	"time"
)

// timedWriter is an online.Writer for an HTTP response that sets a deadline for
// each write.
//
// Without the deadline, a caller that stops reading fills the socket buffers, the
// relay blocks in a write forever, and the call keeps its slot at the target.
// Such streams would eventually occupy all slots of the fleet.
type timedWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newTimedWriter(w http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{w: w, controller: http.NewResponseController(w), timeout: timeout}
}

// extendDeadline sets the deadline of the next write. The error is ignored because
// httptest.ResponseRecorder does not support deadlines.
func (w *timedWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Begin implements online.Writer.
func (w *timedWriter) Begin(status int, header http.Header) error {
	for name, values := range header {
		w.w.Header()[name] = values
	}
	w.extendDeadline()
	w.w.WriteHeader(status)
	return nil
}

// Write implements online.Writer.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.w.Write(p)
}

// Flush implements online.Writer.
func (w *timedWriter) Flush() error { return w.controller.Flush() }

// clearDeadline removes the write deadline from the connection. net/http does not
// reset a deadline that a handler set, so the next response on the connection
// would be cut off.
func (w *timedWriter) clearDeadline() {
	_ = w.controller.SetWriteDeadline(time.Time{})
}

// timedResponseWriter is an http.ResponseWriter that sets a deadline for each
// write.
type timedResponseWriter struct {
	http.ResponseWriter
	writer *timedWriter
}

// Write implements http.ResponseWriter.
func (l *timedResponseWriter) Write(p []byte) (int, error) {
	return l.writer.Write(p)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (l *timedResponseWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
