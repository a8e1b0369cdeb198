// Package endless is a fake, for tests, of a process that answers with bytes without end. It measures the
// memory that its reader takes.
package endless

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// sampleInterval is the number of bytes after which the memory in use is measured.
	sampleInterval = 16 << 10
	// maxSampled is the number of bytes up to which that is done, since each measurement takes a
	// garbage collection. Afterwards lateSampleInterval bytes are between two.
	maxSampled         = 1 << 20
	lateSampleInterval = 256 << 10
	// maxSent is the number of bytes that are sent at most, far above each bound.
	maxSent = 300 << 20
)

// Conn is a connection on which a beginning and then some bytes again and again arrive until it is closed, or
// an ending after some repetitions. What is written to it is dropped; a response comes after the first write.
type Conn struct {
	beginning, repeated, ending []byte
	// length is the number of bytes up to the ending, negative if there is none.
	length int
	before uint64
	// written is closed by the first write, nil if reads don't wait for that. done is closed with the
	// connection.
	written, done chan struct{}
	firstWrite    sync.Once

	mu      sync.Mutex
	sent    int
	sampled int
	most    uint64
	closed  bool
}

// NewConn returns a connection on which bytes arrive at once. Memory is counted from now on.
func NewConn(beginning, repeated string) *Conn {
	return &Conn{beginning: []byte(beginning), repeated: []byte(repeated), length: -1, before: memoryInUse(), done: make(chan struct{})}
}

// NewResponse returns a connection on which a response without end arrives after the request: an HTTP client
// gives up a connection that has sent bytes before. Memory is counted from now on.
func NewResponse(beginning, repeated string) *Conn {
	c := NewConn(beginning, repeated)
	c.written = make(chan struct{})
	return c
}

// NewFiniteResponse returns a connection on which a response with some repetitions and an ending arrives, with
// which the memory that the largest valid one takes is measured. Memory is counted from now on.
func NewFiniteResponse(beginning, repeated string, repetitions int, ending string) *Conn {
	c := NewResponse(beginning, repeated)
	c.ending = []byte(ending)
	c.length = len(beginning) + repetitions*len(repeated)
	return c
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

// Ended reports whether all bytes of a finite response were read.
func (c *Conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length >= 0 && c.sent == c.length+len(c.ending)
}

// Closed reports whether the reader has closed the connection.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.written != nil {
		select {
		case <-c.written:
		case <-c.done:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.sent > maxSent {
		return 0, net.ErrClosed
	}
	c.sample()
	for n := range p {
		next, ok := c.next()
		if !ok && n == 0 {
			return 0, io.EOF
		}
		if !ok {
			return n, nil
		}
		p[n] = next
		c.sent++
	}
	return len(p), nil
}

// sample measures the memory in use if enough bytes were read since the last time.
func (c *Conn) sample() {
	interval := sampleInterval
	if c.sent > maxSampled {
		interval = lateSampleInterval
	}
	if c.sent-c.sampled < interval {
		return
	}
	c.sampled = c.sent
	c.most = max(c.most, memoryInUse())
}

// next returns the byte that follows those sent, false at the end.
func (c *Conn) next() (byte, bool) {
	switch {
	case c.sent < len(c.beginning):
		return c.beginning[c.sent], true
	case c.length < 0 || c.sent < c.length:
		return c.repeated[(c.sent-len(c.beginning))%len(c.repeated)], true
	case c.sent-c.length < len(c.ending):
		return c.ending[c.sent-c.length], true
	}
	return 0, false
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.written != nil {
		c.firstWrite.Do(func() { close(c.written) })
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		close(c.done)
	}
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
