package targetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/protocol/sse"
	"merlintiller/platform"
)

const (
	// mostEndlessMemory is the memory that an answer without end may take.
	mostEndlessMemory = 1 << 20
	// memorySampleInterval is the number of bytes after which the memory in use is measured.
	memorySampleInterval = 16 << 10
	// endlessBytes is what a target sends at most in these tests, far above each bound.
	endlessBytes = 300 << 20
)

// endlessConn is a connection to a target that answers with a beginning and then repeats some bytes until
// it is closed. It measures the memory in use while it is read.
type endlessConn struct {
	net.Conn
	beginning, repeated []byte

	sent, sampled int
	most          uint64
	closed        bool
}

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endlessConn) Close() error {
	c.closed = true
	return nil
}

func (c *endlessConn) Read(p []byte) (n int, err error) {
	if c.closed || c.sent > endlessBytes {
		return 0, net.ErrClosed
	}
	if c.sent-c.sampled >= memorySampleInterval && c.sent < 2*mostEndlessMemory {
		c.sampled = c.sent
		c.most = max(c.most, memoryInUse())
	}
	for n < len(p) {
		if at := c.sent; at < len(c.beginning) {
			p[n] = c.beginning[at]
		} else {
			p[n] = c.repeated[(at-len(c.beginning))%len(c.repeated)]
		}
		n++
		c.sent++
	}
	return n, nil
}

// memoryInUse returns the bytes of the heap that are in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// endlessNetwork connects to one target.
type endlessNetwork struct{ conn *endlessConn }

func (n endlessNetwork) Dial(context.Context, string) (net.Conn, error) { return n.conn, nil }

func (n endlessNetwork) Listen(string) (net.Listener, error) { return nil, errors.New("not used") }

// readEndless calls a target that answers without end, and returns the error and the memory that it took.
func readEndless(t *testing.T, beginning, repeated string, read func(*Client) error) (conn *endlessConn, memory int64, err error) {
	t.Helper()
	conn = &endlessConn{beginning: []byte(beginning), repeated: []byte(repeated)}
	client := New(endlessNetwork{conn}, Codec{
		EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
		ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport, DecodeHealth: platform.DecodeHealth,
	})
	before := memoryInUse()
	err = read(client)
	return conn, int64(conn.most) - int64(before), err
}

// sendAndReadBody sends a request and reads the body of its answer to the end.
func sendAndReadBody(c *Client) error {
	answer, err := sendEndless(c)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer)
	return err
}

// sendAndReadEvents sends a request and reads the events of its answer.
func sendAndReadEvents(c *Client) error {
	answer, err := sendEndless(c)
	if err != nil {
		return err
	}
	defer answer.Close()
	events := sse.NewReader(answer)
	for {
		if _, err := events.Next(); err != nil {
			return err
		}
	}
}

func sendEndless(c *Client) (external.OpenAnswer, error) {
	return c.Send(context.Background(), targetAddress, &exchange.Dispatch{
		ID: "r", Method: http.MethodPost, Host: "h", Path: "/a", Target: "t", TimeLeft: time.Minute, After: exchange.FromStart,
	})
}

func readReport(c *Client) error {
	_, err := c.Report(context.Background(), targetAddress)
	return err
}

func readHealth(c *Client) error {
	health, err := c.Health(context.Background(), targetAddress, "/health")
	if err == nil && !health.Healthy {
		err = errors.New("not healthy")
	}
	return err
}

// endlessHeads are heads of responses that never end.
var endlessHeads = map[string]struct{ beginning, repeated string }{
	"status line":       {"HTTP/1.1 200 ", "x"},
	"one header line":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"continued line":    {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
	"short lines":       {"HTTP/1.1 200 OK\r\n", "a:\r\nb:\r\nc:\r\nd:\r\n"},
	"no answer at all":  {"", "\x00"},
	"empty lines":       {"", "\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
}

// Guards against a target that sends a head without end and fills the memory of the instance.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, head := range endlessHeads {
		for call, read := range map[string]func(*Client) error{"request": sendAndReadBody, "report": readReport, "health": readHealth} {
			t.Run(name+"/"+call, func(t *testing.T) {
				conn, memory, err := readEndless(t, head.beginning, head.repeated, read)
				require.Error(t, err)
				require.True(t, conn.closed)
				require.LessOrEqual(t, conn.sent, 2*maxHead)
				require.LessOrEqual(t, memory, int64(mostEndlessMemory))
				t.Logf("%d bytes read, %d bytes of memory, %v", conn.sent, memory, err)
			})
		}
	}
}

// Guards against a head without end that does not count as one, so that the log does not tell why the
// request was lost.
func TestEndlessHeadEndsAsOversized(t *testing.T) {
	for _, name := range []string{"status line", "one header line", "header lines", "short lines"} {
		_, _, err := readEndless(t, endlessHeads[name].beginning, endlessHeads[name].repeated, sendAndReadBody)
		require.ErrorIs(t, err, external.ErrMayHaveRun, name)
		require.Equal(t, external.EndOversized, external.EndOf(err), name)
	}
}

const endlessAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n"

// Guards against bodies without end that fill the memory of the instance, whoever reads them.
func TestEndlessBodyIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		beginning, repeated string
		read                func(*Client) error
		most                int
	}{
		"answer":                       {endlessAnswer, "x", sendAndReadBody, maxBody},
		"chunks":                       {"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n", sendAndReadBody, 2 * maxBody},
		"chunk head":                   {"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "0", sendAndReadBody, 1 << 20},
		"trailer":                      {"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", sendAndReadBody, 1 << 20},
		"event":                        {endlessAnswer, "data: x\n", sendAndReadEvents, 1 << 20},
		"event without line ends":      {endlessAnswer, "x", sendAndReadEvents, 1 << 20},
		"events":                       {endlessAnswer, "data: x\n\n", sendAndReadEvents, 2 * maxBody},
		"answer to another request":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x", sendAndReadBody, maxHead},
		"chunks of another request":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n", sendAndReadBody, 4 << 20},
		"answers to other requests":    {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nabc", sendAndReadBody, maxHead},
		"report":                       {"HTTP/1.1 200 OK\r\n\r\n", "x", readReport, 1 << 20},
		"health":                       {"HTTP/1.1 200 OK\r\n\r\n", "x", readHealth, 1 << 20},
		"body of a rejected request":   {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", "x", sendAndClose, maxHead},
		"bytes after a whole response": {"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\nabc", "x", sendAndClose, maxHead},
	} {
		t.Run(name, func(t *testing.T) {
			conn, memory, err := readEndless(t, c.beginning, c.repeated, c.read)
			require.True(t, conn.closed, "%v", err)
			require.LessOrEqual(t, conn.sent, c.most+2*maxHead)
			require.LessOrEqual(t, memory, int64(mostEndlessMemory))
			t.Logf("%d bytes read, %d bytes of memory, %v", conn.sent, memory, err)
		})
	}
}

// sendAndClose sends a request and closes its answer without reading it.
func sendAndClose(c *Client) error {
	answer, err := sendEndless(c)
	if err != nil {
		return err
	}
	answer.Close()
	return nil
}
