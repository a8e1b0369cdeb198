package batch

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/coordination/bulk"
	"merlintiller/internal/protocol"
)

func inputLine(id, extra string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":"m"%s}}`, id, extra) + "\n"
}

func chunksOf(t require.TestingT, opts Options, text string) [][]bulk.Item {
	c := newChunker(opts.withDefaults(), strings.NewReader(text))
	var chunks [][]bulk.Item
	for {
		items, err := c.next()
		require.NoError(t, err)
		if len(items) == 0 {
			return chunks
		}
		chunks = append(chunks, items)
	}
}

// A caller's file has one wrong line among thousands. The refusal must name the
// line and the field, or nobody finds it.
func TestWrongLinesAreNamed(t *testing.T) {
	good := inputLine("a", "")
	cases := map[string]struct {
		line, field string
	}{
		"not json":       {"hello\n", ""},
		"two values":     {strings.TrimSpace(good) + " {}\n", ""},
		"unknown field":  {`{"custom_id":"b","methud":"POST"}` + "\n", ""},
		"no custom id":   {inputLine("", ""), "custom_id"},
		"long custom id": {inputLine(strings.Repeat("x", 600), ""), "custom_id"},
		"twice":          {good, "custom_id"},
		"method":         {`{"custom_id":"b","method":"GET","url":"/v1/completions","body":{"model":"m"}}` + "\n", "method"},
		"url":            {`{"custom_id":"b","method":"POST","url":"/v1/files","body":{"model":"m"}}` + "\n", "url"},
		"another url":    {`{"custom_id":"b","method":"POST","url":"/v1/embeddings","body":{"model":"m"}}` + "\n", "url"},
		"no body":        {`{"custom_id":"b","method":"POST","url":"/v1/completions"}` + "\n", "body"},
		"no model":       {`{"custom_id":"b","method":"POST","url":"/v1/completions","body":{}}` + "\n", "body.model"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newChunker(Options{}.withDefaults(), strings.NewReader(good+"\n"+test.line))
			_, err := c.next()
			var wrong *LineError
			require.ErrorAs(t, err, &wrong)
			require.Equal(t, 3, wrong.Line)
			require.Equal(t, test.field, wrong.Field)
			refusal := refuseInput(err)
			require.Equal(t, protocol.CodeBadRequest, refusal.Code)
			require.Contains(t, refusal.Message, "line 3")
		})
	}
}

// A caller sends a file without end, or a line without end. It must be refused
// before it fills the memory of the instance.
func TestLargeInputIsRefused(t *testing.T) {
	for name, opts := range map[string]Options{
		"line":  {MaxLineBytes: 100},
		"file":  {MaxFileBytes: 500},
		"items": {MaxFileItems: 3},
	} {
		t.Run(name, func(t *testing.T) {
			text := ""
			for i := range 10 {
				text += inputLine(fmt.Sprint(i), `,"p":"`+strings.Repeat("x", i*10)+`"`)
			}
			c := newChunker(opts.withDefaults(), strings.NewReader(text))
			_, err := c.next()
			require.ErrorIs(t, err, errTooLarge)
			require.Equal(t, protocol.CodeTooLarge, refuseInput(err).Code)
		})
	}
}

// An upload breaks off in the middle. It is no file.
func TestBrokenUploadIsRefused(t *testing.T) {
	broken := io.MultiReader(strings.NewReader(inputLine("a", "")), errReader{})
	_, err := newChunker(Options{}.withDefaults(), broken).next()
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, protocol.CodeBadRequest, refuseInput(err).Code)
}

var errBroken = errors.New("connection reset")

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errBroken }

// A file of any mix of line sizes is cut into entries. Each must fit in a log
// entry and keep every item in its order, or items would be lost.
func TestChunksFitAndKeepEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 2600).Draw(t, "items")
		size := rapid.SampledFrom([]int{0, 100, 20_000, 200_000}).Draw(t, "size")
		if size*count > 4<<20 {
			count = 4 << 20 / size
		}
		var text strings.Builder
		for i := range count {
			text.WriteString(inputLine(fmt.Sprint(i), `,"p":"`+strings.Repeat("x", size)+`"`))
		}
		next := 0
		for _, chunk := range chunksOf(t, Options{}, text.String()) {
			require.LessOrEqual(t, len(chunk), entryItems)
			data, err := bulk.Encode(bulk.Entry{At: 1 << 40, Items: chunk})
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), protocol.MaxEntryBytes)
			for _, item := range chunk {
				require.Equal(t, fmt.Sprint(next), item.CustomID)
				next++
			}
		}
		require.Equal(t, count, next)
	})
}

func FuzzParseLine(f *testing.F) {
	f.Add([]byte(inputLine("a", `,"messages":[]`)))
	f.Add([]byte(`{"custom_id":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		item, endpoint, err := parseLine(1, data)
		if err != nil {
			var wrong *LineError
			require.ErrorAs(t, err, &wrong)
			return
		}
		require.NotEmpty(t, item.CustomID)
		require.NotEmpty(t, item.Model)
		require.Contains(t, Endpoints, endpoint)
	})
}

func FuzzParseFileID(f *testing.F) {
	f.Add(fileID(77, []byte("x")))
	f.Add("file--1-00")
	f.Fuzz(func(t *testing.T, id string) {
		at, _, ok := parseFileID(id)
		if ok {
			require.GreaterOrEqual(t, int64(at), int64(0))
		}
		if job, _, ok := parseResultFileID(id); ok {
			require.NotEmpty(t, job)
		}
	})
}

func TestFileIDsAreToldApart(t *testing.T) {
	at, _, ok := parseFileID(fileID(77, []byte("x")))
	require.True(t, ok)
	require.EqualValues(t, 77, at)
	job, failed, ok := parseResultFileID(ErrorFileID("batch_1"))
	require.True(t, ok)
	require.True(t, failed)
	require.EqualValues(t, "batch_1", job)
	_, _, ok = parseFileID(OutputFileID("batch_1"))
	require.False(t, ok)
	_, _, ok = parseResultFileID(fileID(77, []byte("x")))
	require.False(t, ok)
}

// A target sends an answer that is not JSON. The line of the result must be
// valid JSON all the same, or the caller can't read the whole file.
func TestForeignBodyIsQuoted(t *testing.T) {
	require.JSONEq(t, `{"a":1}`, string(jsonBody([]byte("{\"a\":\n1}"))))
	require.Equal(t, `"<html>\n"`, strings.ReplaceAll(strings.ReplaceAll(string(jsonBody([]byte("<html>\n"))), `\u003c`, "<"), `\u003e`, ">"))
	require.Equal(t, `""`, string(jsonBody(nil)))
}
