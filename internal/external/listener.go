package external

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/wait"
)

const (
	// handshakeTimeout is the time for which a closing listener waits for the last packet
	// of handshakes that began before. It covers a round trip between continents.
	handshakeTimeout = 250 * time.Millisecond
	// queueCheckInterval is the interval at which a closing listener checks its queue.
	queueCheckInterval = time.Millisecond
)

// Listener is a TCP listener that can be closed without a reset of queued connections.
//
// The kernel completes the handshake of a connection before the process accepts it, and
// closing a listener resets the connections that were not accepted. Their callers may have
// sent a request already and see "connection reset by peer".
type Listener struct {
	*net.TCPListener
}

// ListenTCP opens a Listener at an "ip:port" address.
func ListenTCP(address string) (*Listener, error) {
	// Multipath TCP sockets accept no packet filter.
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{TCPListener: listener.(*net.TCPListener)}, nil
}

// FinishQueue makes the kernel ignore new connection attempts and returns when the queue
// is empty. The owner keeps accepting meanwhile and closes the listener afterwards.
//
// An ignored attempt is repeated by the caller's kernel after about a second and refused
// then, since the listener is closed. If an error is returned, the kernel may still queue
// connections.
func (l *Listener) FinishQueue(ctx context.Context) error {
	if err := l.control(ignoreHandshakes); err != nil {
		return trace.Wrap(err, "ignoring new connections")
	}
	wait.For(ctx, handshakeTimeout)
	for {
		queued, err := l.queued()
		if err != nil || queued == 0 {
			return trace.Wrap(err)
		}
		if !wait.For(ctx, queueCheckInterval) {
			return trace.LimitExceeded("%d connections were not accepted", queued)
		}
	}
}

// queued returns the number of connections that wait to be accepted.
func (l *Listener) queued() (count int, err error) {
	err = l.control(func(fd int) (err error) {
		count, err = queueLength(fd)
		return err
	})
	return count, err
}

// control runs a function on the socket of the listener.
func (l *Listener) control(run func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var runErr error
	if err := raw.Control(func(fd uintptr) { runErr = run(int(fd)) }); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(runErr)
}
