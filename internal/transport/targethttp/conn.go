package targethttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"merlintiller/internal/transport/httpresponse"
)

// countingConn counts the bytes written to the network, before they are written.
// net/http returns the same error whether nothing was written or the connection broke
// after writing. Without the count, a caller could be told "not run" of a call that ran.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// countWrites makes dial return connections that count the bytes written to them.
func countWrites(dial httpresponse.DialFunc) httpresponse.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// writeTracker tracks whether any byte of a call was written to its connection.
type writeTracker struct {
	conn atomic.Pointer[countingConn]
	// before is the number of bytes written to conn before this call.
	before atomic.Int64
}

func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			panic("targethttp: connection without a byte count")
		}
		w.before.Store(conn.written.Load())
		w.conn.Store(conn)
	}}
}

// nothingWritten reports, after a failed round trip, whether certainly no byte of the
// call was written. A connection carries one call at a time, so all bytes after GotConn
// belong to this call. The connection is closed first: after that no write can begin,
// and a write that had begun is already counted.
func (w *writeTracker) nothingWritten() bool {
	conn := w.conn.Load()
	if conn == nil {
		return true
	}
	_ = conn.Close()
	return conn.written.Load() == w.before.Load()
}
