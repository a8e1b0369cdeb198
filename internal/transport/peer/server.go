// Package peer carries calls between instances by net/rpc over TCP, with mutual TLS
// if the settings name certificates. It counts the bytes sent and received, and keeps
// one connection per receiver, so that the transfer of a snapshot never delays a call
// about rates.
package peer

import (
	"container/list"
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"merlintiller/internal/closing"
	"merlintiller/internal/descriptors"
	"merlintiller/internal/transport/inputbudget"
)

var (
	bytesRead    = expvar.NewInt("peer.bytes_read")
	bytesWritten = expvar.NewInt("peer.bytes_written")
	rejected     = expvar.NewInt("peer.refused")
)

const (
	// maxConnections bounds the connections accepted from other instances: a few
	// receivers for each instance that has this one in its partial view.
	maxConnections = 512
	// connectionShare bounds them by the file descriptors: callers and targets need most of these.
	connectionShare = 0.2
)

// Server serves receivers to other instances. It is a suture service.
type Server struct {
	listener net.Listener
	tls      *tls.Config
	rpc      *rpc.Server
	logger   log.Logger
	// input bounds the memory that messages take while they are received, nil if it is not bounded.
	input *inputbudget.Budget

	mu     sync.Mutex
	closed bool
	// conns are the open connections, with their places among the silent ones, nil for those on which a message has come.
	conns map[net.Conn]*list.Element
	// maxOpen bounds the connections. silent are those on which no message has come yet, the oldest first: a new one takes
	// the place of the first of them.
	maxOpen int
	silent  *list.List
}

// NewServer returns a server that accepts connections on listener and closes it when
// Serve ends. A nil tlsConfig means plaintext, which the settings permit on loopback, or
// elsewhere if allowed explicitly.
func NewServer(listener net.Listener, tlsConfig *tls.Config, logger log.Logger) *Server {
	return &Server{
		listener: listener,
		tls:      tlsConfig,
		rpc:      rpc.NewServer(),
		logger:   logger,
		conns:    map[net.Conn]*list.Element{},
		maxOpen:  min(maxConnections, int(connectionShare*float64(descriptors.Limit()))),
		silent:   list.New(),
	}
}

// BoundInput bounds the memory that messages take while they are received, with other input. It is called before Serve.
func (s *Server) BoundInput(b *inputbudget.Budget) { s.input = b }

// BoundConnections lowers the bound on connections, unless most is 0. It is called before Serve.
func (s *Server) BoundConnections(most int) {
	if most > 0 {
		s.maxOpen = min(s.maxOpen, most)
	}
}

// Register serves the methods of a receiver under a name.
func (s *Server) Register(name string, receiver any) error {
	return trace.Wrap(s.rpc.RegisterName(name, receiver))
}

// String names the service for the supervisor.
func (s *Server) String() string { return "peer-server" }

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	wait := closing.OnDone(ctx, s.close)
	defer wait()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return trace.Wrap(err, "accepting peer connections")
		}
		if !s.add(conn) {
			rejected.Add(1)
			_ = conn.Close()
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

// add adds a connection. It returns false if there is no room for it.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := s.silent.Front(); len(s.conns) >= s.maxOpen && first != nil {
		oldest := first.Value.(net.Conn)
		s.drop(oldest)
		rejected.Add(1)
	}
	if s.closed || len(s.conns) >= s.maxOpen {
		return false
	}
	s.conns[conn] = s.silent.PushBack(conn)
	return true
}

// speaks records that a message of a connection has come.
func (s *Server) speaks(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent := s.conns[conn]; silent != nil {
		s.silent.Remove(silent)
		s.conns[conn] = nil
	}
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(conn)
}

// drop closes a connection. The caller holds mu.
func (s *Server) drop(conn net.Conn) {
	if silent := s.conns[conn]; silent != nil {
		s.silent.Remove(silent)
	}
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serveConn serves one connection. A client without a certificate of the fleet is
// rejected and logged before any byte reaches net/rpc: an outsider that could call a
// receiver could grant itself tokens or withdraw keys.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.remove(conn)
	var stream net.Conn = &countingConn{Conn: conn}
	if s.tls != nil {
		secured := tls.Server(stream, s.tls)
		if err := s.handshake(ctx, secured); err != nil {
			rejected.Add(1)
			_ = level.Warn(s.logger).Log("event", "peer_refused", "remote", conn.RemoteAddr(), "err", err)
			return
		}
		stream = secured
	}
	input := s.input.NewCharge(func() { _ = conn.Close() })
	defer input.Release()
	onMessage := sync.OnceFunc(func() { s.speaks(conn) })
	s.rpc.ServeConn(&boundedConn{Conn: stream, input: input, onMessage: onMessage, onTooLarge: func(err error) {
		_ = level.Warn(s.logger).Log("event", "peer_message_too_large", "remote", conn.RemoteAddr(), "err", err)
	}})
}

func (s *Server) handshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// countingConn counts the bytes of traffic between instances.
type countingConn struct{ net.Conn }

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(int64(n))
	return n, err
}
