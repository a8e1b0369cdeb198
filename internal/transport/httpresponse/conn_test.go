package httpresponse

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/rawserver"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client net.Conn, server *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	socket, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	client = WatchResets(socket)
	t.Cleanup(func() { _, _ = client.Close(), accepted.Close() })
	return client, accepted.(*net.TCPConn)
}

// writeUntilError writes until a write fails, and returns its error.
func writeUntilError(client net.Conn) error {
	for {
		if _, err := client.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that a write has found and a read takes for the end of the response.
func TestReadFailsAfterAWriteFoundAReset(t *testing.T) {
	client, server := connect(t)
	_, err := io.WriteString(server, "part")
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() { failed <- writeUntilError(client) }()
	// The write waits: nobody reads.
	part := make([]byte, len("part"))
	_, err = io.ReadFull(client, part)
	require.NoError(t, err)
	rawserver.Reset(server)
	require.ErrorIs(t, <-failed, syscall.ECONNRESET)
	_, err = client.Read(part)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, client.Close())
	_, err = client.Read(part)
	require.ErrorIs(t, err, syscall.ECONNRESET, "the reset, and not that this end was closed")
}

// Guards against a whole response that counts as cut since the server reset the connection after it had ended its side.
func TestReadEndsIfTheServerEndedItsSideBeforeTheReset(t *testing.T) {
	client, server := connect(t)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	failed := make(chan error, 1)
	go func() { failed <- writeUntilError(client) }()
	time.AfterFunc(10*time.Millisecond, func() { rawserver.Reset(server) })
	require.ErrorIs(t, <-failed, syscall.EPIPE)
	body, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// Guards against a reader that waits for a write that waits for the server, which has ended its side and reads nothing.
func TestReadDoesNotWaitForABlockedWrite(t *testing.T) {
	client, server := connect(t)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	failed := make(chan error, 1)
	go func() { failed <- writeUntilError(client) }()
	require.NoError(t, server.CloseWrite())
	body, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	_ = client.Close()
	require.Error(t, <-failed)
}
