package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"merlintiller/internal/standin/memnet"
)

// A connection goes silent for good: packets on it vanish and no reset comes,
// while new connections work. Calls on it time out one after the other, and the
// instance at its other end seems to be gone, until the process ends.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		const address = "10.0.0.2:80"
		listener, err := network.Host("10.0.0.2").Listen(address)
		require.NoError(t, err)
		server := NewServer(listener, nil, log.NewNopLogger())
		receiver := &echo{release: make(chan struct{})}
		require.NoError(t, server.Register("Echo", receiver))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		// The first connection is one on which nothing comes back.
		client := NewClientOn(&firstSilent{Network: network})
		call := func(within time.Duration) error {
			limited, stop := context.WithTimeout(ctx, within)
			defer stop()
			var reply string
			return client.Call(limited, address, "Echo.Say", "hello", &reply)
		}
		require.Error(t, call(100*time.Millisecond))
		require.NoError(t, call(100*time.Millisecond))

		// A call that takes long on a connection that works does not end it.
		working := client.links[lane{address, "Echo"}].client
		limited, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		var reply string
		slow := make(chan error, 1)
		go func() { slow <- client.Call(limited, address, "Echo.Wait", "", &reply) }()
		<-time.After(50 * time.Millisecond)
		require.NoError(t, call(100*time.Millisecond))
		require.Error(t, <-slow)
		require.NoError(t, call(100*time.Millisecond))
		require.Same(t, working, client.links[lane{address, "Echo"}].client)
		close(receiver.release)
		client.Close()
		cancel()
		<-done
	})
}

// firstSilent dials a listener that never answers at first.
type firstSilent struct {
	*memnet.Network
	dialled bool
}

func (f *firstSilent) Listen(address string) (net.Listener, error) {
	return f.Host("10.0.0.1").Listen(address)
}

func (f *firstSilent) Dial(ctx context.Context, address string) (net.Conn, error) {
	if f.dialled {
		return f.Host("10.0.0.1").Dial(ctx, address)
	}
	f.dialled = true
	if _, err := f.Host("10.0.0.3").Listen("10.0.0.3:80"); err != nil {
		return nil, err
	}
	return f.Host("10.0.0.1").Dial(ctx, "10.0.0.3:80")
}

// A failure domain is cut off for seconds. When the cut ends, the connections from
// before are still silent, and a request that asks for a slot over one of them waits
// for nothing. An instance that was silent is spoken to over new connections, and
// calls that hang on old ones fail at once, so that their callers go elsewhere.
func TestForgottenInstanceIsDialledAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		const address = "10.0.0.2:80"
		listener, err := network.Host("10.0.0.2").Listen(address)
		require.NoError(t, err)
		server := NewServer(listener, nil, log.NewNopLogger())
		require.NoError(t, server.Register("Echo", &echo{release: make(chan struct{})}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx) }()
		client := NewClientOn(&firstSilent{Network: network})
		var lost, reply string
		hangs := make(chan error, 1)
		go func() { hangs <- client.Call(ctx, address, "Echo.Say", "hello", &lost) }()
		time.Sleep(time.Second)

		client.CloseConnections("10.0.0.9:80")
		synctest.Wait()
		require.Empty(t, hangs, "another instance was forgotten")

		began := time.Now()
		client.CloseConnections(address)
		require.Error(t, <-hangs)
		require.NoError(t, client.Call(ctx, address, "Echo.Say", "hello", &reply))
		require.Less(t, time.Since(began), 10*time.Millisecond)
		client.Close()
		cancel()
		<-done
	})
}
