package targethttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/standin/endless"
)

// beyondUsual is the memory that a response without end may take beyond the largest one that is read.
const beyondUsual = 1 << 20

// Guards against a target that answers a call, an order or a status query without end and fills the memory of
// the instance.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\n\r\n"
	load := func(c *Client) error {
		_, err := c.Load(context.Background(), "10.0.0.2:80")
		return err
	}
	call := func(c *Client) error {
		answer, err := c.Do(context.Background(), "10.0.0.2:80", external.Call{ID: "r", Method: "POST", Path: "/a"})
		if err != nil {
			return err
		}
		// Callers bound what they read of a body.
		_, err = io.CopyN(io.Discard, answer.Body, 64<<10)
		_ = answer.Body.Close()
		return err
	}
	read := func(conn *endless.Conn, call func(*Client) error) error {
		client := newClient(Options{}, func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		defer client.Close()
		return call(client)
	}
	largest := endless.NewConn(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxControlBody), "x")
	require.Error(t, read(largest, load), "it is no report")
	for name, c := range map[string]struct {
		beginning, repeated string
		call                func(*Client) error
		usual               int64
	}{
		"call, status line":  {"HTTP/1.1 200 ", "x", call, 0},
		"call, header line":  {"HTTP/1.1 200 OK\r\nA: ", "x", call, 0},
		"call, header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", call, 0},
		"call, another id":   {body, "x", call, 0},
		"load, header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", load, 0},
		"load, body":         {body, "x", load, largest.Memory()},
	} {
		t.Run(name, func(t *testing.T) {
			conn := endless.NewConn(c.beginning, c.repeated)
			require.Error(t, read(conn, c.call))
			require.LessOrEqual(t, conn.Memory(), c.usual+beyondUsual)
			t.Logf("%d bytes read, %d bytes of memory, %d as usual", conn.Sent(), conn.Memory(), c.usual)
		})
	}
}
