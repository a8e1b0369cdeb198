// Package logline writes log lines asynchronously and limits their rate, so that logging
// does not delay the work that is logged.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/ring"
)

// queueCapacity is the largest number of queued lines. At the highest load an instance
// writes a few hundred lines a second, so the reader of the output can stop for several
// seconds before lines are dropped.
const queueCapacity = 2048

// flushTimeout limits the time for which the end of the process waits for a reader of the
// output that has stopped.
const flushTimeout = 200 * time.Millisecond

var droppedLines = metrics.NewCounter("log_lines_dropped_total")

// Writer queues complete lines without blocking. Its background service Serve writes
// them.
//
// Without the queue, if the reader of the output stopped, the pipe would fill and each
// request would block until its line is written.
type Writer struct {
	to      io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer that passes lines on to another writer.
func NewWriter(to io.Writer) *Writer {
	return &Writer{to: to, lines: ring.New[[]byte]("log", queueCapacity)}
}

// Write implements io.Writer for one line. If the queue is full, the line is dropped
// and counted.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// String returns the name of the background service.
func (w *Writer) String() string { return "log" }

// Serve writes lines until ctx is done.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			return err
		}
		w.emit(line)
	}
}

// emit writes one line, preceded by the number of dropped lines if there are any.
func (w *Writer) emit(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, "event=log_dropped lines=%d\n", n), line...)
	}
	// An error is ignored, because there is no other output to log it to.
	_, _ = w.to.Write(line)
}

// Start writes lines in the background. The returned stop writes the lines that are queued
// and returns when the last one is written, or after flushTimeout.
func (w *Writer) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Serve(ctx)
		w.flush()
	}()
	return func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(flushTimeout):
		}
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		line, ok := w.lines.TryTake()
		if !ok {
			return
		}
		w.emit(line)
	}
}
