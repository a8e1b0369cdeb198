package targethttp

import (
	"context"
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
	for name, c := range map[string]struct {
		beginning, repeated, ending string
		call                        func(*Client) error
		// usual is how often repeated is in the largest response that is read.
		usual int
	}{
		"call, status line":  {"HTTP/1.1 200 ", "x", "\r\n\r\n", call, 0},
		"call, header line":  {"HTTP/1.1 200 OK\r\nA: ", "x", "\r\n\r\n", call, 0},
		"call, header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", "\r\n", call, 0},
		"call, another id":   {body, "x", "", call, 0},
		"load, header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", "\r\n", load, 0},
		"load, body":         {body, "x", "", load, maxControlBody},
	} {
		t.Run(name, func(t *testing.T) {
			largest := endless.NewFiniteResponse(c.beginning, c.repeated, c.usual, c.ending)
			require.Error(t, read(largest, c.call), "it answers no call and is no report")
			require.True(t, largest.Ended(), "it is read to its end")
			conn := endless.NewResponse(c.beginning, c.repeated)
			require.Error(t, read(conn, c.call))
			require.LessOrEqual(t, conn.Memory(), largest.Memory()+beyondUsual)
			t.Logf("%d bytes read, %d bytes of memory, %d as usual", conn.Sent(), conn.Memory(), largest.Memory())
		})
	}
}
