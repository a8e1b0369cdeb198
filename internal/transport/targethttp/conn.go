package targethttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// countedConn counts the bytes handed to the network, before they are handed
// over. What goes wrong without it: net/http reports one error for "nothing
// was written" and "written, then the connection broke", and a caller would be
// told "not run" of a call that ran.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func counted(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// sending watches the connection that carries one call.
type sending struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			panic("targethttp: connection without a byte count")
		}
		s.before.Store(conn.written.Load())
		s.conn.Store(conn)
	}}
}

// nothingSent reports, after a failed round trip, whether certainly no byte of
// the call left. A connection carries one call at a time, so bytes after
// GotConn are this call's. The connection is closed first: a write that has not
// begun by then can't begin any more, and one that has begun is counted.
func (s *sending) nothingSent() bool {
	conn := s.conn.Load()
	if conn == nil {
		return true
	}
	_ = conn.Close()
	return conn.written.Load() == s.before.Load()
}
