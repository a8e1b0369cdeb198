package targetconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/transport/httpresponse"
)

// readBuffer is the size of a connection's read buffer in bytes. It holds a
// response head and some events.
const readBuffer = 4 << 10

// maxHead bounds the head of a response in bytes. http.ReadResponse has no bound of its own: a target that
// sends a header without end would fill the memory of the instance.
const maxHead = 32 << 10

var errHeadTooLarge = fmt.Errorf("%w: head of more than %d bytes", external.ErrTooLarge, maxHead)

// boundedReader reads from a connection. While a response head is read, it fails after maxHead bytes.
type boundedReader struct {
	net.Conn
	inHead bool
	left   int
	// failed reports that a read from the connection failed.
	failed bool
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Conn.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.failed = err != nil
	return n, err
}

// conn is a connection to a target. One exchange uses it at a time.
type conn struct {
	// socket is the connection itself, net the one that is written to and read from.
	socket net.Conn
	net    net.Conn
	bound  *boundedReader
	reader *bufio.Reader
	// address is the target's address.
	address string
	// idleSince is when the connection was last used.
	idleSince time.Time
	// idleLimit is how long the target keeps the connection open unused. 0: unknown.
	idleLimit time.Duration
	// answered is set once a response head was read. Until then the connection may be in the queue of a listener that no
	// process serves.
	answered bool
}

func newConn(address string, c net.Conn) *conn {
	watched := httpresponse.WatchResets(c)
	bound := &boundedReader{Conn: watched}
	return &conn{socket: c, net: watched, bound: bound, reader: bufio.NewReaderSize(bound, readBuffer), address: address}
}

// readHead reads the head of a response. An interim response is dropped by the caller, so its fields may be malformed.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.bound.inHead, c.bound.left, c.bound.failed = true, maxHead-c.reader.Buffered(), false
	defer func() { c.bound.inHead = false }()
	response, err := http.ReadResponse(c.reader, request)
	switch {
	case err != nil && c.bound.left == 0:
		// http.ReadResponse may report the line that was cut off as malformed.
		tooLarge[inHead].Inc()
		return nil, fmt.Errorf("%w: %v", errHeadTooLarge, err)
	case err != nil && !c.bound.failed:
		err = httpresponse.Unreadable(err)
	case err == nil && !isInterim(response):
		err = httpresponse.Check(response)
	}
	c.answered = c.answered || err == nil
	if err != nil {
		countMalformed(err)
		return nil, err
	}
	return response, nil
}

// isInterim reports whether another response to the request follows. After 101 another protocol would follow.
func isInterim(response *http.Response) bool {
	status := response.StatusCode
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// noInput reports whether an idle connection received nothing: neither a close by the
// target nor bytes that belong to no request.
func (c *conn) noInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.socket.(syscall.Conn)
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
