package httpresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection of a client on which reads fail if a reset ended the response.
//
// The kernel reports a reset once, to whichever of read and write comes first. If a write of the request takes it, the
// next read returns io.EOF, as at the end of a body without a length: a part of a body would count as whole.
type conn struct {
	net.Conn

	// writing is held by each write.
	writing sync.Mutex
	// reset is the error of a write that found the connection reset, nil if there was none.
	reset error
}

// WatchResets returns a connection on which a reset that a write finds is also an error of reads. A write that is in
// progress when the server ends its side of the connection fails: it is not known otherwise what it would find.
func WatchResets(c net.Conn) net.Conn { return &conn{Conn: c} }

// DialFunc connects to an address, as for http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that connects as dial does, with WatchResets.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return WatchResets(c), nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// Clients close a connection on which a write failed, so that a read that waits fails as well.
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		if reset := c.resetFoundByWrite(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isReset(err) {
		c.reset = err
	}
	return n, err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// resetFoundByWrite returns the error of a write that found the connection reset. A write in progress may have found it
// already, or waits for the server to read and is ended.
func (c *conn) resetFoundByWrite() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(longAgo)
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.reset
}

// isReset reports whether the error of a write is that of a connection that broke before the server ended its side. If it
// broke afterwards, the kernel returns EPIPE, and what was received before is whole.
func isReset(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
