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
	// dialTimeout bounds a connect with its handshake. Failure domains are
	// well under a millisecond apart, regions some ten milliseconds.
	dialTimeout = time.Second
	// idleTimeout closes a connection that carried no call for so long, so
	// that connections to replaced instances don't pile up.
	idleTimeout = 5 * time.Minute
)

type lane struct {
	address  string
	receiver string
}

type link struct {
	client *rpc.Client
	used   time.Time
	// answered is when the last reply came.
	answered time.Time
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	tls     *tls.Config
	network external.Network

	mu    sync.Mutex
	links map[lane]*link
}

// NewClientOn returns a client without TLS on a network.
func NewClientOn(network external.Network) *Client {
	return &Client{network: network, links: map[lane]*link{}}
}

// NewClient returns a client; a nil tlsConfig means plaintext.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, network: external.OSNetwork{Timeout: dialTimeout}, links: map[lane]*link{}}
}

// Call invokes "Receiver.Method" at an address and waits for the reply until
// ctx ends. An error says nothing about the effect, unless it is an
// rpc.ServerError, which is the receiver's own answer. reply must not be used
// after an error: a late answer may still be written to it.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	receiver, _, _ := strings.Cut(method, ".")
	key := lane{address: address, receiver: receiver}
	client, err := c.get(ctx, key)
	if err != nil {
		return trace.Wrap(err, "connecting to instance at %s", address)
	}
	began := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.settle(key, client, call.Error)
	case <-ctx.Done():
		c.unanswered(key, client, began)
		return trace.Wrap(ctx.Err(), "calling %s at %s", method, address)
	}
}

// unanswered drops a connection on which nothing came back during a call that
// timed out. A slow receiver that answers other calls keeps its connection.
//
// What goes wrong without it: a connection goes silent without a reset, while new
// ones would work. Each call on it times out, and the instance at its other end
// seems to be gone.
func (c *Client) unanswered(key lane, client *rpc.Client, began time.Time) {
	c.mu.Lock()
	found, ok := c.links[key]
	silent := ok && found.client == client && found.answered.Before(began)
	c.mu.Unlock()
	if silent {
		c.drop(key, client)
	}
}

// settle drops the connection after any error that is not the receiver's own
// answer, so that the next call dials anew.
func (c *Client) settle(key lane, client *rpc.Client, err error) error {
	_, answered := err.(rpc.ServerError)
	if err != nil && !answered {
		c.drop(key, client)
		return trace.Wrap(err)
	}
	c.mu.Lock()
	if found, ok := c.links[key]; ok && found.client == client {
		found.answered = time.Now()
	}
	c.mu.Unlock()
	return trace.Wrap(err)
}

func (c *Client) get(ctx context.Context, key lane) (*rpc.Client, error) {
	c.mu.Lock()
	if found, ok := c.links[key]; ok {
		found.used = time.Now()
		c.mu.Unlock()
		return found.client, nil
	}
	c.mu.Unlock()
	conn, err := c.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	return c.keep(key, rpc.NewClient(conn)), nil
}

// keep stores a fresh connection. If another call was faster, its connection
// is used and the fresh one closed.
func (c *Client) keep(key lane, fresh *rpc.Client) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.links[key]; ok {
		_ = fresh.Close()
		return found.client
	}
	c.links[key] = &link{client: fresh, used: time.Now()}
	c.closeIdle()
	return fresh
}

func (c *Client) closeIdle() {
	for key, found := range c.links {
		if time.Since(found.used) > idleTimeout {
			_ = found.client.Close()
			delete(c.links, key)
		}
	}
}

func (c *Client) drop(key lane, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.links[key]; ok && found.client == client {
		delete(c.links, key)
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

// CloseConnections closes the connections to an address. Calls on them fail at once, and the
// next call dials anew.
//
// What goes wrong without it: a cut loses what is under way on a connection. Its
// sender tries again after pauses that double, so that a connection stays silent for
// as long again as the cut lasted, while new ones work. The first calls after the cut
// wait on it until they time out.
func (c *Client) CloseConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, found := range c.links {
		if key.address == address {
			_ = found.client.Close()
			delete(c.links, key)
		}
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, found := range c.links {
		_ = found.client.Close()
		delete(c.links, key)
	}
}
