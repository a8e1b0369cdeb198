// Package endless is a fake, for tests, of a process that answers with bytes without end. It measures the
// memory that its reader takes.
package endless

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// sampleInterval is the number of bytes after which the memory in use is measured.
	sampleInterval = 16 << 10
	// maxSampled is the number of bytes up to which that is done, since each measurement takes a
	// garbage collection. Afterwards each further maxSampled bytes are followed by one.
	maxSampled = 2 << 20
	// maxSent is the number of bytes that are sent at most, far above each bound.
	maxSent = 300 << 20
)

// Conn is a connection on which a beginning and then some bytes again and again arrive until it is closed.
// What is written to it is dropped.
type Conn struct {
	beginning, repeated []byte
	before              uint64

	mu      sync.Mutex
	sent    int
	sampled int
	most    uint64
	closed  bool
}

// NewConn returns a connection. Memory is counted from now on.
func NewConn(beginning, repeated string) *Conn {
	return &Conn{beginning: []byte(beginning), repeated: []byte(repeated), before: memoryInUse()}
}

// memoryInUse returns the bytes of the heap that are in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Sent returns the number of bytes that were read.
func (c *Conn) Sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// Memory returns the most memory that was in use beyond that when the connection was made, in bytes. It is 0
// if too few bytes were read to measure it.
func (c *Conn) Memory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, int64(c.most)-int64(c.before))
}

// Closed reports whether the reader has closed the connection.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.sent > maxSent {
		return 0, net.ErrClosed
	}
	interval := sampleInterval
	if c.sent > maxSampled {
		interval = maxSampled
	}
	if c.sent-c.sampled >= interval {
		c.sampled = c.sent
		c.most = max(c.most, memoryInUse())
	}
	for n := range p {
		if c.sent < len(c.beginning) {
			p[n] = c.beginning[c.sent]
		} else {
			p[n] = c.repeated[(c.sent-len(c.beginning))%len(c.repeated)]
		}
		c.sent++
	}
	return len(p), nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 80} }

// SetDeadline implements net.Conn. Reads never block.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Network is an external.Network on which each address is that of one connection.
type Network struct{ Conn *Conn }

// Dial implements external.Network.
func (n Network) Dial(context.Context, string) (net.Conn, error) { return n.Conn, nil }

// Listen implements external.Network.
func (n Network) Listen(string) (net.Listener, error) {
	return nil, errors.New("an endless network has no listeners")
}
