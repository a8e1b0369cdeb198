package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/protocol/sse"
	"merlintiller/internal/standin/endless"
	"merlintiller/platform"
)

// mostEndlessMemory is the memory that an answer without end may take.
const mostEndlessMemory = 1 << 20

// readEndless calls a target that answers without end, and returns the error.
func readEndless(beginning, repeated string, read func(*Client) error) (*endless.Conn, error) {
	conn := endless.NewResponse(beginning, repeated)
	client := New(endless.Network{Conn: conn}, Codec{
		EncodeDispatch: platform.EncodeDispatch, DecodeReply: platform.DecodeReply,
		ReportPath: platform.ReportPath, DecodeReport: platform.DecodeReport, DecodeHealth: platform.DecodeHealth,
	})
	return conn, read(client)
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
				conn, err := readEndless(head.beginning, head.repeated, read)
				require.Error(t, err)
				require.True(t, conn.Closed())
				require.LessOrEqual(t, conn.Sent(), 2*maxHead)
				require.LessOrEqual(t, conn.Memory(), int64(mostEndlessMemory))
				t.Logf("%d bytes read, %d bytes of memory, %v", conn.Sent(), conn.Memory(), err)
			})
		}
	}
}

// Guards against a head without end that does not count as one, so that the log does not tell why the
// request was lost.
func TestEndlessHeadEndsAsOversized(t *testing.T) {
	for _, name := range []string{"status line", "one header line", "header lines", "short lines"} {
		_, err := readEndless(endlessHeads[name].beginning, endlessHeads[name].repeated, sendAndReadBody)
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
			conn, err := readEndless(c.beginning, c.repeated, c.read)
			require.True(t, conn.Closed(), "%v", err)
			require.LessOrEqual(t, conn.Sent(), c.most+2*maxHead)
			require.LessOrEqual(t, conn.Memory(), int64(mostEndlessMemory))
			t.Logf("%d bytes read, %d bytes of memory, %v", conn.Sent(), conn.Memory(), err)
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
