package harness

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two test processes that start programs on the same port.
func TestFreeAddressIsReserved(t *testing.T) {
	address, err := FreeAddress()
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	_, err = reservePort(port)
	require.Error(t, err, "another process must not get the port")
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err, "the started process must be able to bind the port")
	_ = listener.Close()
}
