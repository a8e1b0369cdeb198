package external

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections for "ip:port" addresses.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// OSNetwork is the network of the operating system.
type OSNetwork struct {
	// Timeout bounds a connect.
	Timeout time.Duration
}

// Listen implements Network.
func (n OSNetwork) Listen(address string) (net.Listener, error) { return ListenTCP(address) }

// Dial implements Network.
func (n OSNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: n.Timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
