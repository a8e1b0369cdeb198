// Package logline keeps the writing of log lines away from the work that they
// tell of.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/ring"
)

// capacity is the number of lines that wait at most. At the heaviest load an
// instance writes some hundred lines a second, so that a reader may stop for
// several seconds before lines are dropped.
const capacity = 2048

var droppedLines = metrics.NewCounter("log_lines_dropped_total")

// Writer takes whole lines and never waits. It is a duty: Serve writes them.
//
// What goes wrong without it: whoever reads the output stops, the pipe fills,
// and each request waits for the writing of its line.
type Writer struct {
	to      io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer in front of another one.
func NewWriter(to io.Writer) *Writer {
	return &Writer{to: to, lines: ring.New[[]byte]("log", capacity)}
}

// Write implements io.Writer for one line. A line that finds no room is dropped
// and counted.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// String names the duty.
func (w *Writer) String() string { return "log" }

// Serve writes lines until ctx ends.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			return err
		}
		w.emit(line)
	}
}

func (w *Writer) emit(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, "event=log_dropped lines=%d\n", n), line...)
	}
	// There is no place left to tell that telling failed.
	_, _ = w.to.Write(line)
}

// Flush writes what still waits, at the end of the process.
func (w *Writer) Flush() {
	for {
		line, ok := w.lines.TryTake()
		if !ok {
			return
		}
		w.emit(line)
	}
}
