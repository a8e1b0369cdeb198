package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts.
type Network struct {
	delay time.Duration

	mu sync.Mutex
	// window is the maximum number of unread bytes in one direction of a connection.
	window int
	// dialCond wakes the calls of Dial. Each connection and each listener has
	// a condition variable of its own.
	dialCond   *sync.Cond
	listeners  map[string]*listener
	conns      map[*conn]struct{}
	blocked    map[path]bool
	refused    map[path]bool
	poweredOff map[string]bool
	nextPort   int
}

// path is one direction between two hosts, named by their IP addresses.
type path struct{ from, to string }

// New returns a network with the given one-way packet delay.
func New(delay time.Duration) *Network {
	n := &Network{
		delay: delay, window: window, listeners: map[string]*listener{}, conns: map[*conn]struct{}{},
		blocked: map[path]bool{}, refused: map[path]bool{}, poweredOff: map[string]bool{}, nextPort: 40000,
	}
	n.dialCond = sync.NewCond(&n.mu)
	return n
}

// SetWindow sets the maximum number of unread bytes in one direction of a connection.
func (n *Network) SetWindow(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.window = bytes
}

// Host is one machine, named by its IP address.
type Host struct {
	network *Network
	ip      string
}

// Host returns the host with an IP address.
func (n *Network) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// Block holds back all packets from one host to another. Connections stay open
// and receive nothing. The packets are delivered after Unblock.
func (n *Network) Block(from, to string) { n.update(func() { n.blocked[path{from, to}] = true }) }

// Unblock ends the effect of Block.
func (n *Network) Unblock(from, to string) { n.update(func() { delete(n.blocked, path{from, to}) }) }

// Partition blocks both directions between each host of one side and each host of
// the other.
func (n *Network) Partition(one, other []string) { n.forEachPair(one, other, n.Block) }

// HealPartition ends the effect of Partition.
func (n *Network) HealPartition(one, other []string) { n.forEachPair(one, other, n.Unblock) }

// PartitionRefusing resets all connections between the hosts of two sides and refuses new ones.
func (n *Network) PartitionRefusing(one, other []string) {
	n.forEachPair(one, other, func(from, to string) {
		n.update(func() {
			n.refused[path{from, to}] = true
			for c := range n.conns {
				if c.local.ip == from && c.remote.ip == to {
					c.abort()
				}
			}
		})
	})
}

// HealPartitionRefusing ends the effect of PartitionRefusing.
func (n *Network) HealPartitionRefusing(one, other []string) {
	n.forEachPair(one, other, func(from, to string) { n.update(func() { delete(n.refused, path{from, to}) }) })
}

func (n *Network) forEachPair(one, other []string, do func(from, to string)) {
	for _, a := range one {
		for _, b := range other {
			do(a, b)
			do(b, a)
		}
	}
}

// Kill ends the process of a host: its connections are reset and its ports refuse
// connections.
func (n *Network) Kill(ip string) {
	n.update(func() {
		n.closeListeners(ip)
		for c := range n.conns {
			if c.local.ip == ip {
				c.abort()
			}
		}
	})
}

// PowerOff stops a host without closing its connections. Other hosts receive
// nothing more from it.
func (n *Network) PowerOff(ip string) {
	n.update(func() {
		n.closeListeners(ip)
		n.poweredOff[ip] = true
		for c := range n.conns {
			if c.local.ip == ip {
				c.hostDown = true
			}
		}
	})
}

// PowerOn makes a host reachable again. The host does not know its old
// connections and resets them.
func (n *Network) PowerOn(ip string) {
	n.update(func() {
		delete(n.poweredOff, ip)
		for c := range n.conns {
			if c.local.ip == ip && c.hostDown {
				c.abort()
			}
		}
	})
}

func (n *Network) closeListeners(ip string) {
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.closed = true
			l.cond.Broadcast()
			delete(n.listeners, address)
		}
	}
}

// update changes paths or hosts and wakes all waiting calls, because the change may
// affect any of them.
func (n *Network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	n.dialCond.Broadcast()
	for c := range n.conns {
		c.cond.Broadcast()
	}
}

// reachable reports whether packets get from one host to the other. The caller holds
// n.mu.
func (n *Network) reachable(from, to string) bool {
	return !n.blocked[path{from, to}] && !n.poweredOff[from] && !n.poweredOff[to]
}

// broadcastAfter wakes the waiters of a condition variable after a delay.
func (n *Network) broadcastAfter(cond *sync.Cond, after time.Duration) {
	time.AfterFunc(after, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		cond.Broadcast()
	})
}

func hostOf(address string) string {
	return netip.MustParseAddrPort(address).Addr().String()
}

// endpoint is the address of one end of a connection.
type endpoint struct {
	ip   string
	port int
}

func (e endpoint) addr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(e.ip), Port: e.port} }

// listener accepts the connections to one address.
type listener struct {
	network *Network
	cond    *sync.Cond
	address string
	waiting []*conn
	closed  bool
}

// Listen opens a port of the host.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, cond: sync.NewCond(&n.mu)}
	n.listeners[address] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(l.waiting) == 0 {
		if l.closed {
			return nil, net.ErrClosed
		}
		l.cond.Wait()
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closed = true
	l.cond.Broadcast()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// Dial connects to an address, which takes one round trip. It fails with
// ECONNREFUSED if no listener is there. On a blocked path it waits until ctx
// ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	stop := context.AfterFunc(ctx, func() { n.broadcastAfter(n.dialCond, 0) })
	defer stop()
	at := time.Now().Add(2 * n.delay)
	n.broadcastAfter(n.dialCond, 2*n.delay)
	n.mu.Lock()
	defer n.mu.Unlock()
	to := hostOf(address)
	for time.Now().Before(at) || !n.reachable(h.ip, to) || !n.reachable(to, h.ip) {
		if ctx.Err() != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		n.dialCond.Wait()
	}
	l := n.listeners[address]
	if l == nil || n.refused[path{h.ip, to}] {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	n.nextPort++
	local := endpoint{h.ip, n.nextPort}
	remote := endpoint{to, int(netip.MustParseAddrPort(address).Port())}
	near, far := newPair(n, local, remote)
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	l.waiting = append(l.waiting, far)
	l.cond.Broadcast()
	return near, nil
}
