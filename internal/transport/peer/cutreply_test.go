package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutNetwork opens connections that end after a number of bytes was read, and counts what was read.
type cutNetwork struct {
	cut, read int
}

func (*cutNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *cutNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &cutConn{Conn: conn, network: n}, err
}

type cutConn struct {
	net.Conn
	network *cutNetwork
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	left := c.network.cut - c.network.read
	if left <= 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), left)])
	c.network.read += n
	return n, err
}

// Guards against an answer of another instance that is cut at any byte, as its process ends, and counts as whole: a reader
// of results would get a short page.
func TestReplyThatIsCutIsAnError(t *testing.T) {
	address, _ := start(t)
	call := func(n *cutNetwork) (reply string, err error) {
		client := NewClientWithNetwork(n)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err = client.Call(ctx, address, "Echo.Say", "a page of results", &reply)
		return reply, err
	}
	whole := &cutNetwork{cut: 1 << 20}
	reply, err := call(whole)
	require.NoError(t, err)
	require.Equal(t, "a page of results", reply)
	for cut := range whole.read {
		_, err := call(&cutNetwork{cut: cut})
		require.Error(t, err, "cut at %d of %d", cut, whole.read)
	}
}
