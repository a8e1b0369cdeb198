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

// A connection stops carrying data: packets on it are lost and no reset arrives, while
// new connections work. If it were kept, each call on it would time out and the
// instance would seem to be down until the calling process is restarted.
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
		// No reply arrives on the first connection.
		client := NewClientWithNetwork(&silentFirstDial{Network: network})
		call := func(within time.Duration) error {
			limited, stop := context.WithTimeout(ctx, within)
			defer stop()
			var reply string
			return client.Call(limited, address, "Echo.Say", "hello", &reply)
		}
		require.Error(t, call(100*time.Millisecond))
		require.NoError(t, call(100*time.Millisecond))

		// A call that times out does not close the connection if another call on it was
		// answered meanwhile.
		working := client.conns[connKey{address, "Echo"}].client
		limited, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		var reply string
		slow := make(chan error, 1)
		go func() { slow <- client.Call(limited, address, "Echo.Wait", "", &reply) }()
		<-time.After(50 * time.Millisecond)
		require.NoError(t, call(100*time.Millisecond))
		require.Error(t, <-slow)
		require.NoError(t, call(100*time.Millisecond))
		require.Same(t, working, client.conns[connKey{address, "Echo"}].client)
		close(receiver.release)
		client.Close()
		cancel()
		<-done
	})
}

// silentFirstDial is a network whose first connection goes to a listener that never
// accepts.
type silentFirstDial struct {
	*memnet.Network
	dialled bool
}

func (f *silentFirstDial) Listen(address string) (net.Listener, error) {
	return f.Host("10.0.0.1").Listen(address)
}

func (f *silentFirstDial) Dial(ctx context.Context, address string) (net.Conn, error) {
	if f.dialled {
		return f.Host("10.0.0.1").Dial(ctx, address)
	}
	f.dialled = true
	if _, err := f.Host("10.0.0.3").Listen("10.0.0.3:80"); err != nil {
		return nil, err
	}
	return f.Host("10.0.0.1").Dial(ctx, "10.0.0.3:80")
}

// A network partition isolates a failure domain for seconds. The connections from
// before it are still silent when it ends, and a request for a slot on one of them
// would time out. CloseConnections makes the next calls use new connections, and calls
// in progress on the old ones fail at once, so that their callers can use another
// instance.
func TestCloseConnectionsForcesRedial(t *testing.T) {
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
		client := NewClientWithNetwork(&silentFirstDial{Network: network})
		var unanswered, reply string
		pending := make(chan error, 1)
		go func() { pending <- client.Call(ctx, address, "Echo.Say", "hello", &unanswered) }()
		time.Sleep(time.Second)

		client.CloseConnections("10.0.0.9:80")
		synctest.Wait()
		require.Empty(t, pending, "connections to another instance were closed")

		began := time.Now()
		client.CloseConnections(address)
		require.Error(t, <-pending)
		require.NoError(t, client.Call(ctx, address, "Echo.Say", "hello", &reply))
		require.Less(t, time.Since(began), 10*time.Millisecond)
		client.Close()
		cancel()
		<-done
	})
}
