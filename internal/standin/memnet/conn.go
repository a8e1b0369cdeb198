package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is the maximum number of unread bytes in one direction of a connection, unless
// SetWindow sets another one.
const window = 64 << 10

// segment is data that is sent at once, or the end of the stream.
type segment struct {
	data []byte
	// at is the arrival time.
	at time.Time
	// fin marks that the sender closed the connection.
	fin bool
}

// conn is one end of a connection. Network.mu guards it.
type conn struct {
	network       *Network
	cond          *sync.Cond
	local, remote endpoint
	peer          *conn
	// inbox holds the segments to this end that are in flight or unread,
	// inboxBytes their total size.
	inbox      []segment
	inboxBytes int
	eof        bool
	closed     bool
	// reset marks that the other end aborted the connection, hostDown that the
	// host of this end was powered off.
	reset, hostDown bool
	// resetOnClose makes Close reset the connection.
	resetOnClose bool

	readDeadline, writeDeadline time.Time
}

func newPair(n *Network, localEnd, remoteEnd endpoint) (near, far *conn) {
	near = &conn{network: n, cond: sync.NewCond(&n.mu), local: localEnd, remote: remoteEnd}
	far = &conn{network: n, cond: sync.NewCond(&n.mu), local: remoteEnd, remote: localEnd, peer: near}
	near.peer = far
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.reset && n.reachable(c.remote.ip, c.local.ip):
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case c.readable():
			if read, end := c.consume(p); read > 0 {
				return read, nil
			} else if end {
				return 0, io.EOF
			}
			continue
		case c.eof:
			return 0, io.EOF
		case deadlinePassed(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.cond.Wait()
	}
}

func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// readable reports whether the oldest segment has arrived.
func (c *conn) readable() bool {
	return len(c.inbox) > 0 && !time.Now().Before(c.inbox[0].at) && c.network.reachable(c.remote.ip, c.local.ip)
}

func (c *conn) consume(p []byte) (read int, end bool) {
	head := &c.inbox[0]
	if head.fin {
		c.inbox, c.eof = nil, true
		return 0, true
	}
	read = copy(p, head.data)
	head.data = head.data[read:]
	c.inboxBytes -= read
	if len(head.data) == 0 {
		c.inbox = c.inbox[1:]
	}
	c.peer.cond.Broadcast()
	return read, false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	written := 0
	for len(p) > 0 {
		switch {
		case c.closed:
			return written, net.ErrClosed
		case c.reset && n.reachable(c.remote.ip, c.local.ip), c.peer.closed && !c.peer.hostDown && n.reachable(c.local.ip, c.remote.ip):
			return written, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
		case deadlinePassed(c.writeDeadline):
			return written, os.ErrDeadlineExceeded
		}
		room := n.window - c.peer.inboxBytes
		if room <= 0 {
			c.cond.Wait()
			continue
		}
		part := p[:min(room, len(p))]
		c.send(segment{data: append([]byte(nil), part...)})
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

func (c *conn) send(s segment) {
	s.at = time.Now().Add(c.network.delay)
	c.peer.inbox = append(c.peer.inbox, s)
	c.peer.inboxBytes += len(s.data)
	c.network.broadcastAfter(c.peer.cond, c.network.delay)
}

// Close implements net.Conn. If received bytes are unread, or SetLinger asks for it, the connection is reset.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.resetOnClose || len(c.inbox) > 0 && c.readable() && !c.inbox[0].fin {
		c.abort()
		return nil
	}
	c.closed = true
	c.send(segment{fin: true})
	c.cond.Broadcast()
	c.peer.cond.Broadcast()
	delete(c.network.conns, c)
	return nil
}

// SetLinger makes Close reset the connection if seconds is 0, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// abort ends the connection at both ends. The caller holds Network.mu.
func (c *conn) abort() {
	c.closed = true
	c.peer.reset = true
	c.peer.inbox, c.peer.inboxBytes = nil, 0
	delete(c.network.conns, c)
	c.cond.Broadcast()
	c.peer.cond.Broadcast()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local.addr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote.addr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadline(func() { c.readDeadline, c.writeDeadline = t, t }, t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(func() { c.readDeadline = t }, t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(func() { c.writeDeadline = t }, t)
}

func (c *conn) setDeadline(set func(), t time.Time) error {
	c.network.mu.Lock()
	set()
	c.cond.Broadcast()
	c.network.mu.Unlock()
	if !t.IsZero() {
		c.network.broadcastAfter(c.cond, max(0, time.Until(t)))
	}
	return nil
}
