package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readEvents(r io.Reader) ([]Event, error) {
	reader := NewReader(r)
	var out []Event
	for {
		event, err := reader.Next()
		if err != nil {
			return out, err
		}
		event.Raw = bytes.Clone(event.Raw)
		out = append(out, event)
	}
}

func TestEventsAreSplit(t *testing.T) {
	const text = "id: 7\ndata: {\"a\":1}\n\nevent: x\r\ndata: b\r\n\r\n: comment\n\ndata: [DONE]\n\n"
	for name, r := range map[string]io.Reader{
		"at once":      strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			events, err := readEvents(r)
			require.ErrorIs(t, err, io.EOF)
			require.Len(t, events, 4)
			require.Equal(t, 7, events[0].Position)
			require.Equal(t, "event: x\r\ndata: b\r\n\r\n", string(events[1].Raw))
			require.False(t, events[2].Done)
			require.True(t, events[3].Done)
		})
	}
}

// A target terminates in the middle of an event. The incomplete event must not be
// returned as a complete one.
func TestTruncatedEventIsNotReturned(t *testing.T) {
	events, err := readEvents(strings.NewReader("data: a\n\ndata: half"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, events, 1)
}

// A target sends an event that never ends. The reader must stop at MaxEvent instead of
// exhausting the instance's memory.
func TestEndlessEventIsRejected(t *testing.T) {
	_, err := readEvents(io.MultiReader(strings.NewReader("data: "), endless{}))
	require.ErrorIs(t, err, ErrTooLong)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestMoreReportsBufferedEvents(t *testing.T) {
	reader := NewReader(strings.NewReader("data: a\n\ndata: b\n\ndata: h"))
	_, err := reader.Next()
	require.NoError(t, err)
	require.True(t, reader.More())
	_, err = reader.Next()
	require.NoError(t, err)
	require.False(t, reader.More())
}

// FuzzReader checks that the events don't depend on how the input is split into reads,
// and that joined together they are a prefix of the input.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\r\n\r\n\n\n"))
	f.Add([]byte("id: -5\n\nid: 99999999999999999999\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := readEvents(bytes.NewReader(data))
		require.True(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTooLong))
		single, _ := readEvents(iotest.OneByteReader(bytes.NewReader(data)))
		require.Equal(t, whole, single)
		var joined []byte
		for _, event := range whole {
			require.GreaterOrEqual(t, event.Position, 0)
			joined = append(joined, event.Raw...)
		}
		require.True(t, bytes.HasPrefix(data, joined))
	})
}

func TestDataIsJoinedByLineFeeds(t *testing.T) {
	for raw, want := range map[string]string{
		"id: 3\ndata: one\n\n":                 "one",
		"data:one\r\ndata:  two\r\n\r\n":       "one\n two",
		"event: x\n\n":                         "",
		"weight: 4\nid: 0\ndata:\ndata: b\n\n": "\nb",
	} {
		event, err := NewReader(strings.NewReader(raw)).Next()
		require.NoError(t, err, raw)
		require.Equal(t, want, string(event.Data()), raw)
	}
}
