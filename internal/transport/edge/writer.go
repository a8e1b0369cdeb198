package edge

import (
	"net/http"
	"time"
)

// writer is an online.Writer on an HTTP response.
//
// What goes wrong without the deadline on each write: a caller that stops
// reading fills the socket buffers, the relay blocks in a write for ever and
// holds a place at its target; others notice a fleet that is full of streams
// that nobody reads.
type writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newWriter(w http.ResponseWriter, timeout time.Duration) *writer {
	return &writer{w: w, controller: http.NewResponseController(w), timeout: timeout}
}

// limit gives the next write its time. A recorder in a test has no deadline.
func (w *writer) limit() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Begin implements online.Writer.
func (w *writer) Begin(status int, header http.Header) error {
	for name, values := range header {
		w.w.Header()[name] = values
	}
	w.limit()
	w.w.WriteHeader(status)
	return nil
}

// Write implements online.Writer.
func (w *writer) Write(p []byte) (int, error) {
	w.limit()
	return w.w.Write(p)
}

// Flush implements online.Writer.
func (w *writer) Flush() error { return w.controller.Flush() }

// end takes the deadline off the connection. It must be done: net/http does
// not reset a handler's deadline, so the next answer on it would be cut.
func (w *writer) end() {
	_ = w.controller.SetWriteDeadline(time.Time{})
}

// limitedWriter is an http.ResponseWriter whose writes are limited in time.
type limitedWriter struct {
	http.ResponseWriter
	writer *writer
}

// Write implements http.ResponseWriter.
func (l *limitedWriter) Write(p []byte) (int, error) {
	return l.writer.Write(p)
}

// Unwrap lets http.ResponseController find the connection.
func (l *limitedWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
