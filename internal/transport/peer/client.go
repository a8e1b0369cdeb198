package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"merlintiller/internal/external"
)

const (
	// dialTimeout bounds connecting and the TLS handshake. The network delay is well
	// under a millisecond between failure domains and some ten milliseconds between
	// regions.
	dialTimeout = time.Second
	// idleTimeout is the time without a call after which a connection is closed, so
	// that connections to replaced instances don't accumulate.
	idleTimeout = 5 * time.Minute
)

// connKey identifies a connection: each receiver at an address has its own.
type connKey struct {
	address  string
	receiver string
}

// clientConn is an open connection to a receiver of another instance.
type clientConn struct {
	client *rpc.Client
	// lastUsed is when the last call began.
	lastUsed time.Time
	// lastReply is when the last reply arrived.
	lastReply time.Time
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	tls     *tls.Config
	network external.Network

	mu    sync.Mutex
	conns map[connKey]*clientConn
}

// NewClientWithNetwork returns a client that connects over a network without TLS.
func NewClientWithNetwork(network external.Network) *Client {
	return &Client{network: network, conns: map[connKey]*clientConn{}}
}

// NewClient returns a client; a nil tlsConfig means plaintext.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, network: external.OSNetwork{Timeout: dialTimeout}, conns: map[connKey]*clientConn{}}
}

// Call invokes "Receiver.Method" at an address and waits for the reply until
// ctx ends. An error leaves open whether the method took effect, unless it is an
// rpc.ServerError, which the receiver itself returned. reply must not be used
// after an error: a late reply may still be written to it.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	receiver, _, _ := strings.Cut(method, ".")
	key := connKey{address: address, receiver: receiver}
	client, err := c.get(ctx, key)
	if err != nil {
		return trace.Wrap(err, "connecting to instance at %s", address)
	}
	began := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(key, client, call.Error)
	case <-ctx.Done():
		c.dropIfUnresponsive(key, client, began)
		return trace.Wrap(ctx.Err(), "calling %s at %s", method, address)
	}
}

// dropIfUnresponsive drops a connection on which no reply arrived during a call that
// timed out. A slow receiver that answers other calls meanwhile keeps its connection.
//
// A connection can stop carrying data without a reset while new connections would
// work. If it were kept, each call on it would time out and the instance would seem
// to be down.
func (c *Client) dropIfUnresponsive(key connKey, client *rpc.Client, began time.Time) {
	c.mu.Lock()
	conn, ok := c.conns[key]
	unresponsive := ok && conn.client == client && conn.lastReply.Before(began)
	c.mu.Unlock()
	if unresponsive {
		c.drop(key, client)
	}
}

// finish records the reply to a call, or drops the connection after an error that the
// receiver did not return itself, so that the next call dials a new connection.
func (c *Client) finish(key connKey, client *rpc.Client, err error) error {
	_, fromReceiver := err.(rpc.ServerError)
	if err != nil && !fromReceiver {
		c.drop(key, client)
		return trace.Wrap(err)
	}
	c.mu.Lock()
	if conn, ok := c.conns[key]; ok && conn.client == client {
		conn.lastReply = time.Now()
	}
	c.mu.Unlock()
	return trace.Wrap(err)
}

func (c *Client) get(ctx context.Context, key connKey) (*rpc.Client, error) {
	c.mu.Lock()
	if conn, ok := c.conns[key]; ok {
		conn.lastUsed = time.Now()
		c.mu.Unlock()
		return conn.client, nil
	}
	c.mu.Unlock()
	conn, err := c.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	return c.add(key, rpc.NewClient(&boundedConn{Conn: conn})), nil
}

// add stores a new connection. If a concurrent call has already stored one, add
// returns that one and closes the new one.
func (c *Client) add(key connKey, client *rpc.Client) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[key]; ok {
		_ = client.Close()
		return conn.client
	}
	c.conns[key] = &clientConn{client: client, lastUsed: time.Now()}
	c.closeIdle()
	return client
}

func (c *Client) closeIdle() {
	for key, conn := range c.conns {
		if time.Since(conn.lastUsed) > idleTimeout {
			_ = conn.client.Close()
			delete(c.conns, key)
		}
	}
}

func (c *Client) drop(key connKey, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[key]; ok && conn.client == client {
		delete(c.conns, key)
	}
	_ = client.Close()
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: conn}
	if c.tls == nil {
		return counted, nil
	}
	secured := tls.Client(counted, c.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// CloseConnections closes the connections to an address. Calls in progress on them
// fail at once, and the next call dials a new connection.
//
// A network partition loses the packets in flight on a connection. TCP retransmits
// them at intervals that double, so that after the partition ends the connection stays
// silent for about as long as the partition lasted, while new connections work. If it
// were kept, the first calls after the partition would wait on it until they time out.
func (c *Client) CloseConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, conn := range c.conns {
		if key.address == address {
			_ = conn.client.Close()
			delete(c.conns, key)
		}
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, conn := range c.conns {
		_ = conn.client.Close()
		delete(c.conns, key)
	}
}
