package peer

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/endless"
)

// mostEndlessMemory is the memory that bytes without end may take.
const mostEndlessMemory = 1 << 20

// endlessBytes are what a program that is no instance may send.
var endlessBytes = map[string]struct{ beginning, repeated string }{
	"zeros":                {"", "\x00"},
	"text":                 {"", "x"},
	"answer":               {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"length of a gigabyte": {"\xfc\x40\x00\x00\x00", "x"},
	"length of no number":  {"\x80", "x"},
}

// Guards against a program at the address of an instance that is gone, whose bytes fill the memory of those that
// call it.
func TestEndlessBytesOfPeerAreCutOff(t *testing.T) {
	for name, c := range endlessBytes {
		t.Run(name, func(t *testing.T) {
			conn := endless.NewConn(c.beginning, c.repeated)
			client := NewClientWithNetwork(endless.Network{Conn: conn})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var reply struct{}
			require.Error(t, client.Call(ctx, "10.0.0.2:80", "Any.Method", &reply, &reply))
			require.NoError(t, ctx.Err(), "it ends before the call does")
			client.Close()
			require.LessOrEqual(t, conn.Memory(), int64(mostEndlessMemory))
			t.Logf("%d bytes read, %d bytes of memory", conn.Sent(), conn.Memory())
		})
	}
}

// Guards against a program that connects as an instance and whose bytes fill the memory.
func TestEndlessBytesOfCallerAreCutOff(t *testing.T) {
	for name, c := range endlessBytes {
		t.Run(name, func(t *testing.T) {
			conn := endless.NewConn(c.beginning, c.repeated)
			var logs bytes.Buffer
			server := NewServer(nil, nil, log.NewLogfmtLogger(&logs))
			server.serveConn(t.Context(), conn)
			require.True(t, conn.Closed())
			require.Equal(t, strings.HasPrefix(name, "length"), strings.Contains(logs.String(), "event=peer_message_too_large remote=10.0.0.2:80"), "%s", logs.String())
			require.LessOrEqual(t, conn.Memory(), int64(mostEndlessMemory))
			t.Logf("%d bytes read, %d bytes of memory", conn.Sent(), conn.Memory())
		})
	}
}
