// Package sse splits a stream of server-sent events into complete events without
// decoding them, so that a relay can forward them byte for byte. The format is that of
// the WHATWG HTML standard, section 9.2. The end marker "data: [DONE]" is that of the
// OpenAI API.
package sse

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEvent is the maximum size of one event in bytes.
const MaxEvent = 512 << 10

// initialBufferSize is the initial buffer size in bytes. Most events fit without
// growing the buffer.
const initialBufferSize = 4 << 10

// ErrTooLong reports that an event exceeds MaxEvent.
var ErrTooLong = errors.New("sse: event exceeds 512 KiB")

// Event is one event as received.
type Event struct {
	// Raw is the event's bytes, including the blank line that ends it. It is valid
	// until the next call of Reader.Next.
	Raw []byte
	// Position is the number in the event's id field, which is the number of events
	// that a reader has received including this one. 0 if there is none.
	Position int
	// HasPosition reports whether the event has an id field with a number, which may be
	// 0.
	HasPosition bool
	// Done reports whether the event is the end marker.
	Done bool
}

// Data returns the event's data fields joined by line feeds, as the standard requires.
func (e *Event) Data() []byte {
	var data []byte
	found := false
	for rest := e.Raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		value, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte{'\r'}), dataField)
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		found = true
		data = append(data, bytes.TrimPrefix(value, []byte{' '})...)
	}
	return data
}

// Reader reads events from a stream.
type Reader struct {
	from       io.Reader
	buf        []byte
	start, end int
	// scanned is the position in buf up to which no event ends.
	scanned int
	err     error
}

// NewReader returns a Reader of the events in from.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: from, buf: make([]byte, initialBufferSize)}
}

// Next returns the next complete event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the last event is incomplete.
func (r *Reader) Next() (Event, error) {
	for {
		if length := r.completeEventLen(); length > 0 {
			raw := r.buf[r.start : r.start+length]
			r.start += length
			r.scanned = r.start
			return parse(raw), nil
		}
		if r.err != nil {
			return Event{}, r.finalError()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// More reports whether another complete event is already buffered, so that a relay can
// delay its flush.
func (r *Reader) More() bool { return r.completeEventLen() > 0 }

func (r *Reader) finalError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf[r.start:r.end])) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// completeEventLen returns the length of the first event in the buffer, 0 if the event
// is not complete.
func (r *Reader) completeEventLen() int {
	at := r.scanned
	for {
		i := bytes.IndexByte(r.buf[at:r.end], '\n')
		if i < 0 {
			r.scanned = max(r.start, r.rescanFrom())
			return 0
		}
		at += i + 1
		if n := lineEndLen(r.buf[at:r.end]); n > 0 {
			return at + n - r.start
		}
	}
}

// rescanFrom returns the position of the last line feed in the buffer, where the next
// scan for the end of an event has to start.
func (r *Reader) rescanFrom() int {
	return r.start + max(0, bytes.LastIndexByte(r.buf[r.start:r.end], '\n'))
}

// lineEndLen returns the length of the line end at the start of rest, 0 if there is
// none.
func lineEndLen(rest []byte) int {
	switch {
	case len(rest) >= 1 && rest[0] == '\n':
		return 1
	case len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n':
		return 2
	default:
		return 0
	}
}

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.scanned -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= MaxEvent {
			return ErrTooLong
		}
		grown := make([]byte, 2*len(r.buf))
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.from.Read(r.buf[r.end:])
	r.end += n
	r.err = err
	return nil
}

var (
	idField    = []byte("id:")
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		if value, ok := bytes.CutPrefix(line, idField); ok {
			event.Position, event.HasPosition = parsePosition(value)
		} else if value, ok := bytes.CutPrefix(line, dataField); ok {
			event.Done = bytes.Equal(bytes.TrimSpace(value), doneMarker)
		}
	}
	return event
}

func parsePosition(value []byte) (n int, ok bool) {
	n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil || n < 0 {
		return 0, false
	}
	return n, true
}
