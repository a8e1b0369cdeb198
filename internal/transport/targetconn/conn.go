package targetconn

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer in bytes. It holds a
// response head and some events.
const readBuffer = 4 << 10

// conn is a connection to a target. One exchange uses it at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	// address is the target's address.
	address string
	// idleSince is when the connection was last used.
	idleSince time.Time
	// idleLimit is how long the target keeps the connection open unused. 0: unknown.
	idleLimit time.Duration
}

func newConn(address string, c net.Conn) *conn {
	return &conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), address: address}
}

// noInput reports whether an idle connection received nothing: neither a close by the
// target nor bytes that belong to no request.
func (c *conn) noInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

func (c *conn) close() { _ = c.net.Close() }
