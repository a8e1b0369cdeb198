package memnet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func pair(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	listener, err := n.Host("10.0.0.2").Listen("10.0.0.2:80")
	require.NoError(t, err)
	client, err = n.Host("10.0.0.1").Dial(t.Context(), "10.0.0.2:80")
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	return client, server
}

func TestBytesArriveInOrderAfterTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair(t, New(time.Millisecond))
		start := time.Now()
		_, err := client.Write([]byte("one"))
		require.NoError(t, err)
		_, err = client.Write([]byte("two"))
		require.NoError(t, err)
		require.NoError(t, client.Close())
		data, err := io.ReadAll(server)
		require.NoError(t, err)
		require.Equal(t, "onetwo", string(data))
		require.Equal(t, time.Millisecond, time.Since(start))
	})
}

func TestBlockedPathIsSilentThenDelivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		client, server := pair(t, n)
		n.Block("10.0.0.1", "10.0.0.2")
		_, err := client.Write([]byte("late"))
		require.NoError(t, err)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Second)))
		buffer := make([]byte, 8)
		_, err = server.Read(buffer)
		require.ErrorContains(t, err, "timeout")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = n.Host("10.0.0.1").Dial(ctx, "10.0.0.2:80")
		require.ErrorContains(t, err, "timeout")
		n.Unblock("10.0.0.1", "10.0.0.2")
		require.NoError(t, server.SetReadDeadline(time.Time{}))
		got, err := server.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, "late", string(buffer[:got]))
	})
}

func TestKilledHostResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		client, _ := pair(t, n)
		n.Kill("10.0.0.2")
		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = n.Host("10.0.0.1").Dial(t.Context(), "10.0.0.2:80")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}

func TestPoweredOffHostIsSilentThenResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		client, _ := pair(t, n)
		n.PowerOff("10.0.0.2")
		require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := client.Read(make([]byte, 1))
		require.ErrorContains(t, err, "timeout")
		require.NoError(t, client.SetReadDeadline(time.Time{}))
		n.PowerOn("10.0.0.2")
		_, err = client.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

// A writer blocks once the window is full, if the other end does not read.
func TestWindowBlocksTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair(t, New(time.Millisecond))
		require.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
		written, err := client.Write(make([]byte, 2*window))
		require.ErrorContains(t, err, "timeout")
		require.Equal(t, window, written)
		_, err = io.ReadFull(server, make([]byte, window))
		require.NoError(t, err)
		require.NoError(t, client.SetWriteDeadline(time.Time{}))
		_, err = client.Write([]byte("x"))
		require.NoError(t, err)
	})
}
