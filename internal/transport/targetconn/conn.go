package targetconn

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBuffer holds an answer's head and some events.
const readBuffer = 4 << 10

// conn is a connection to a target. One exchange uses it at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	// address is where it goes, idleSince when it was last used.
	address   string
	idleSince time.Time
	// idleLimit is how long the target keeps it open unused. 0: not known.
	idleLimit time.Duration
}

func newConn(address string, c net.Conn) *conn {
	return &conn{net: c, reader: bufio.NewReaderSize(c, readBuffer), address: address}
}

// quiet says that nothing was received on an idle connection: neither its end
// nor bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func (c *conn) close() { _ = c.net.Close() }
