// Package sse splits a stream of server-sent events into whole events without
// decoding them, so that a relay can pass them on byte for byte. The format is
// that of the WHATWG HTML standard, section 9.2; the end mark "data: [DONE]"
// is OpenAI's.
package sse

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEvent bounds one event in bytes.
const MaxEvent = 1 << 20

// firstBuffer holds the usual event without growing.
const firstBuffer = 4 << 10

// ErrTooLong: an event exceeds MaxEvent.
var ErrTooLong = errors.New("sse: event too long")

// Event is one event as it came, with its closing blank line.
type Event struct {
	// Raw is valid until the next call of Next.
	Raw []byte
	// Position is the number in the event's id field: how many events a
	// reader has once it got this one. 0 if there is none.
	Position int
	// HasPosition says that there is an id field with a number, which may be 0.
	HasPosition bool
	// Done says that this is the end mark.
	Done bool
}

// Data joins the event's data fields by line feeds, as the standard wants it.
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

// Reader reads events.
type Reader struct {
	from       io.Reader
	buf        []byte
	start, end int
	// scanned is how far the buffer is known to hold no end of an event.
	scanned int
	err     error
}

// NewReader returns a reader of the events in from.
func NewReader(from io.Reader) *Reader {
	return &Reader{from: from, buf: make([]byte, firstBuffer)}
}

// Next gives the next whole event. At the end it gives io.EOF, or
// io.ErrUnexpectedEOF if bytes of a broken event are left.
func (r *Reader) Next() (Event, error) {
	for {
		if length := r.whole(); length > 0 {
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

// More reports whether another whole event is already in memory, so that a
// relay can put off its flush.
func (r *Reader) More() bool { return r.whole() > 0 }

func (r *Reader) finalError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf[r.start:r.end])) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// whole is the length of the first event in the buffer, 0 if it is not whole.
func (r *Reader) whole() int {
	at := r.scanned
	for {
		i := bytes.IndexByte(r.buf[at:r.end], '\n')
		if i < 0 {
			r.scanned = max(r.start, r.lastLine())
			return 0
		}
		at += i + 1
		if n := blankLine(r.buf[at:r.end]); n > 0 {
			return at + n - r.start
		}
	}
}

// lastLine is where the last line in the buffer starts, less one so that its
// preceding line feed is seen again.
func (r *Reader) lastLine() int {
	return r.start + max(0, bytes.LastIndexByte(r.buf[r.start:r.end], '\n'))
}

// blankLine is the length of the line end that rest starts with, 0 if it
// starts with none.
func blankLine(rest []byte) int {
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
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.from.Read(r.buf[r.end:])
	r.end += n
	r.err = err
	return nil
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		if value, ok := bytes.CutPrefix(line, idField); ok {
			event.Position, event.HasPosition = position(value)
		} else if value, ok := bytes.CutPrefix(line, dataField); ok {
			event.Done = bytes.Equal(bytes.TrimSpace(value), doneMark)
		}
	}
	return event
}

func position(value []byte) (n int, ok bool) {
	n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	if err != nil || n < 0 {
		return 0, false
	}
	return n, true
}
