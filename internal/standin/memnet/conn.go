package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is what may be on its way unread in one direction, in bytes.
const window = 64 << 10

// segment is what one write sent.
type segment struct {
	data []byte
	at   time.Time
	// end says that the sender closed its side.
	end bool
}

// conn is one end of a connection. The network's lock guards it.
type conn struct {
	network       *Network
	cond          *sync.Cond
	local, remote endpoint
	peer          *conn
	// inbox is what comes in, inboxBytes its size.
	inbox      []segment
	inboxBytes int
	ended      bool
	closed     bool
	// reset says that the other side aborted, lost that this side has no power.
	reset, lost bool

	readBy, writeBy time.Time
}

func newPair(n *Network, here, there endpoint) (near, far *conn) {
	near = &conn{network: n, cond: sync.NewCond(&n.mu), local: here, remote: there}
	far = &conn{network: n, cond: sync.NewCond(&n.mu), local: there, remote: here, peer: near}
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
		case c.reset && n.reaches(c.remote.ip, c.local.ip):
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case c.arrived():
			if read, end := c.take(p); read > 0 {
				return read, nil
			} else if end {
				return 0, io.EOF
			}
			continue
		case c.ended:
			return 0, io.EOF
		case past(c.readBy):
			return 0, os.ErrDeadlineExceeded
		}
		c.cond.Wait()
	}
}

func past(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// arrived says that the oldest segment is there.
func (c *conn) arrived() bool {
	return len(c.inbox) > 0 && !time.Now().Before(c.inbox[0].at) && c.network.reaches(c.remote.ip, c.local.ip)
}

func (c *conn) take(p []byte) (read int, end bool) {
	head := &c.inbox[0]
	if head.end {
		c.inbox, c.ended = nil, true
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
		case c.reset && n.reaches(c.remote.ip, c.local.ip), c.peer.closed && !c.peer.lost && n.reaches(c.local.ip, c.remote.ip):
			return written, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
		case past(c.writeBy):
			return written, os.ErrDeadlineExceeded
		}
		room := window - c.peer.inboxBytes
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
	c.network.wake(c.peer.cond, c.network.delay)
}

// Close implements net.Conn. Unread bytes make it a reset.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	if len(c.inbox) > 0 && c.arrived() && !c.inbox[0].end {
		c.abort()
		return nil
	}
	c.closed = true
	c.send(segment{end: true})
	c.cond.Broadcast()
	c.peer.cond.Broadcast()
	delete(c.network.conns, c)
	return nil
}

// abort ends the connection at both sides. It needs the lock.
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
	return c.deadline(func() { c.readBy, c.writeBy = t, t }, t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.deadline(func() { c.readBy = t }, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.deadline(func() { c.writeBy = t }, t) }

func (c *conn) deadline(set func(), t time.Time) error {
	c.network.mu.Lock()
	set()
	c.cond.Broadcast()
	c.network.mu.Unlock()
	if !t.IsZero() {
		c.network.wake(c.cond, max(0, time.Until(t)))
	}
	return nil
}
