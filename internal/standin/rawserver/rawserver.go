// Package rawserver is a fake, for tests, of an HTTP server that answers with bytes of the test's choice, over real
// sockets on the loopback interface.
package rawserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
)

// Answer answers a request, whose body has not been read. It returns whether the connection is kept for another one.
type Answer func(conn *net.TCPConn, request *http.Request) (keep bool)

// Server is a running server.
type Server struct {
	listener    net.Listener
	answer      Answer
	connections atomic.Int64
	running     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

const (
	// segmentSize is the size of a TCP segment in bytes, as on an Ethernet. Segments on loopback are so large that the
	// kernel of the client buffers a request of some megabytes.
	segmentSize = 1460
	// receiveBuffer is the size in bytes of the buffer of a connection. A request that does not fit into the buffers of both
	// ends is still being written while its answer is read.
	receiveBuffer = 16 << 10
)

// Start starts a server.
func Start(answer Answer) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var failed error
		err := socket.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			)
		})
		return errors.Join(err, failed)
	}}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, answer: answer, open: map[net.Conn]struct{}{}}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the "ip:port" at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections that were accepted.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Close closes the listener and all connections, and returns when no answer is being sent any more.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		s.connections.Add(1)
		s.running.Go(func() { s.serve(conn.(*net.TCPConn)) })
	}
}

// track adds a connection to those that Close closes. It returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *Server) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !s.answer(conn, request) {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// Reset resets a connection, with all that was sent on it delivered before.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
