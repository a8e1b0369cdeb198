package listening

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func listenAt(address string) OpenFunc {
	return func() (net.Listener, error) { return net.Listen("tcp", address) }
}

func TestListenerIsHandedOverAndThenReopened(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := first.Addr().String()
	require.NoError(t, first.Close())
	open, err := Now("callers", address, listenAt(address))
	require.NoError(t, err)
	_, err = net.Listen("tcp", address)
	require.Error(t, err, "the address must be in use before the service starts")
	for range 2 {
		listener, err := open()
		require.NoError(t, err)
		require.Equal(t, address, listener.Addr().String())
		require.NoError(t, listener.Close())
	}
}

func TestAddressInUseIsReportedByName(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	address := taken.Addr().String()
	_, err = Now("operators", address, listenAt(address))
	require.ErrorContains(t, err, "operators at "+address)
	require.ErrorContains(t, err, "address already in use")
}
