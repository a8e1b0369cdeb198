package graceful

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"merlintiller/internal/transport/inputbudget"
)

const (
	// firstRequestTimeout is the time for which a shutdown waits for the first request of
	// a connection. Callers send it right after they have connected, and their libraries
	// don't expect a response before.
	firstRequestTimeout = 5 * time.Second
	// refusalWriteTimeout limits the write of a refusal. An idle connection has an empty
	// send buffer.
	refusalWriteTimeout = 100 * time.Millisecond
	// lingerTimeout is the time for which a refused connection stays open until its caller
	// closes it. The close of a connection with unread bytes would reset it, and the caller
	// might lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	// readAhead is the number of bytes behind a head that the server of net/http may read with it.
	readAhead = 4 << 10
)

type connState int

const (
	// connNew: no request has begun.
	connNew connState = iota
	// connActive: a handler runs, or its response is being written.
	connActive
	// connIdle: the last response is written.
	connIdle
	// connRefused: the refusal was written. Bytes from the caller are dropped.
	connRefused
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	// refusal and idleRefusal are the encoded responses for a request that is not read
	// because of a shutdown and because its connection was idle for too long.
	refusal, idleRefusal []byte
	// tooLarge is the encoded response for a head that is larger than maxHead returns.
	tooLarge []byte
	maxHead  func() int
	// head is what the head of the current request takes.
	head *inputbudget.Charge
	// since is when the connection was accepted.
	since time.Time
	// silent is the place among the connections on which no request has begun. The lock of the connSet guards it.
	silent *list.Element
	// begun reports whether a request has begun. The lock of the connSet guards it.
	begun bool

	mu    sync.Mutex
	state connState
	// received reports whether bytes of the next request have arrived, headBytes how many of its head.
	received  bool
	headBytes int
	// expired reports whether the connection was refused because it was idle.
	expired bool
}

type connKey struct{}

// connOf returns the connection of a request.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read implements net.Conn. It drops what arrives after the refusal.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 && c.receive(p[:n]) {
			return n, err
		}
		if err != nil && c.refuseIdle(err) {
			continue
		}
		if err != nil {
			return 0, err
		}
		if n == 0 {
			return 0, nil
		}
	}
}

// receive records bytes that have arrived. It returns false if they must be dropped.
func (c *conn) receive(p []byte) bool {
	switch c.addToHead(p) {
	case headDropped:
		return false
	case headLarger:
		headsLarge.Add(1)
		c.send(c.tooLarge)
		return false
	case headPart:
		if !c.head.Add(inputbudget.HeadCost(p)) {
			_ = c.Conn.Close()
			return false
		}
	}
	return true
}

// headResult says what becomes of bytes that have arrived.
type headResult int

const (
	// headComplete: the handler runs, so that they belong to the body, or to a further request.
	headComplete headResult = iota
	// headPart: they belong to the head of the next request.
	headPart
	// headLarger: the head is larger than it may be.
	headLarger
	// headDropped: the connection was refused before.
	headDropped
)

// addToHead adds bytes that have arrived to the head of the next request.
func (c *conn) addToHead(p []byte) headResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connRefused {
		return headDropped
	}
	c.received = true
	if c.state == connActive {
		return headComplete
	}
	c.headBytes += len(p)
	if c.maxHead != nil && c.headBytes > c.maxHead()+readAhead {
		c.state = connRefused
		return headLarger
	}
	return headPart
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isRefused() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. The deadline of a refused connection is fixed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connRefused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, so that the caller reads to the end of the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// AbortResponse ends the handler of a request whose response has begun and can't be completed. It closes the
// connection so that the response does not look complete: callers of HTTP/1.0 get no chunks and take the close for the
// end of the body, so for them the connection is reset.
func AbortResponse(r *http.Request) {
	if c := connOf(r.Context()); c != nil && !r.ProtoAtLeast(1, 1) {
		c.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of the connection reset it.
func (c *conn) resetOnClose() {
	socket := c.Conn
	for {
		wrapper, ok := socket.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		socket = wrapper.NetConn()
	}
	if lingering, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
}

// beginRequest records that the handler of a request begins. It returns false if the
// request was refused already and must not run.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connRefused {
		return false
	}
	c.state, c.headBytes = connActive, 0
	c.head.Complete()
	return true
}

// becomeIdle records that a response was written.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connActive {
		c.state = connIdle
		c.received = false
		c.head.Release()
	}
}

func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connRefused
}

func (c *conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connActive || c.received
}

// refuseIdle refuses the next request if a read ended because the connection was idle for too
// long. A request that crosses the close of the connection would get no answer.
func (c *conn) refuseIdle(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.markExpired() {
		return false
	}
	expiredIdle.Add(1)
	c.send(c.idleRefusal)
	return true
}

// markExpired marks an idle connection as refused. It returns false if a request has begun.
func (c *conn) markExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle || c.received || c.idleRefusal == nil {
		return false
	}
	c.state, c.expired = connRefused, true
	return true
}

// writeRefusal writes the refusal of a shutdown to a connection for which markRefused returned
// true.
func (c *conn) writeRefusal() {
	refusedIdle.Add(1)
	c.send(c.refusal)
}

// send writes a refusal and closes the sending side. A caller whose request is on the way
// takes it for the response, and one that sends nothing finds its connection closed.
func (c *conn) send(refusal []byte) {
	// The read deadline comes first: while a TLS handshake waits for the caller, a write
	// waits for the handshake.
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Conn.Write(refusal)
	_ = c.CloseWrite()
}

// markRefused marks a connection as refused. It returns false if a request has begun on it,
// or may still come as the first one.
func (c *conn) markRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.state == connIdle || c.state == connNew && time.Since(c.since) >= firstRequestTimeout
	if !waiting || c.received {
		return false
	}
	c.state = connRefused
	return true
}
