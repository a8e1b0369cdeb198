package platformhttp

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/external"
	"merlintiller/internal/standin/endless"
)

// beyondUsual is the memory that a response without end may take beyond the largest one that is read.
const beyondUsual = 1 << 20

// list reads the list of processes from a platform that answers so.
func list(conn *endless.Conn) error {
	client := newClient("10.0.0.2:80", func(context.Context, string, string) (net.Conn, error) { return conn, nil })
	_, err := client.List(context.Background())
	return err
}

// Guards against a response of the platform without end that fills the memory, or counts as a short one.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		beginning, repeated, ending string
		// usual is how often repeated is in the largest response that is read.
		usual int
	}{
		"status line":  {"HTTP/1.1 200 ", "x", "\r\n\r\n", 0},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "x", "\r\n\r\n", 0},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", "\r\n", 0},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", " ", "", maxPageBytes},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n" + strings.Repeat(" ", 8) + "\r\n", "0\r\n\r\n", maxPageBytes / 8},
	} {
		t.Run(name, func(t *testing.T) {
			largest := endless.NewFiniteResponse(c.beginning, c.repeated, c.usual, c.ending)
			require.Error(t, list(largest), "it is no list")
			require.True(t, largest.Ended(), "it is read to its end")
			conn := endless.NewResponse(c.beginning, c.repeated)
			require.ErrorIs(t, list(conn), external.ErrUnavailable)
			require.LessOrEqual(t, conn.Memory(), largest.Memory()+beyondUsual)
			t.Logf("%d bytes read, %d bytes of memory, %d as usual", conn.Sent(), conn.Memory(), largest.Memory())
		})
	}
}
