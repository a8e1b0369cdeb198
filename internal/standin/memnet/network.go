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

// Network joins hosts.
type Network struct {
	delay time.Duration

	mu sync.Mutex
	// dialling wakes those who wait for a connection to come about. Each
	// connection and listener has a condition of its own.
	dialling  *sync.Cond
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cuts      map[path]bool
	dark      map[string]bool
	nextPort  int
}

// path is one direction between two hosts, by IP number.
type path struct{ from, to string }

// New returns a network whose packets take a delay one way.
func New(delay time.Duration) *Network {
	n := &Network{
		delay: delay, listeners: map[string]*listener{}, conns: map[*conn]struct{}{},
		cuts: map[path]bool{}, dark: map[string]bool{}, nextPort: 40000,
	}
	n.dialling = sync.NewCond(&n.mu)
	return n
}

// Host is one machine, named by its IP number.
type Host struct {
	network *Network
	ip      string
}

// Host returns a machine.
func (n *Network) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// Block drops all packets from one host to another. Connections stay open and
// nothing comes; what was sent is delivered once the cut is healed.
func (n *Network) Block(from, to string) { n.change(func() { n.cuts[path{from, to}] = true }) }

// Unblock ends a cut.
func (n *Network) Unblock(from, to string) { n.change(func() { delete(n.cuts, path{from, to}) }) }

// Partition cuts both ways between each host of one side and each of the other, and
// Join heals that.
func (n *Network) Partition(one, other []string) { n.both(one, other, n.Block) }

// HealPartition ends what Part did.
func (n *Network) HealPartition(one, other []string) { n.both(one, other, n.Unblock) }

func (n *Network) both(one, other []string, do func(from, to string)) {
	for _, a := range one {
		for _, b := range other {
			do(a, b)
			do(b, a)
		}
	}
}

// Kill ends a host's process: its connections are reset and its ports refuse.
func (n *Network) Kill(ip string) {
	n.change(func() {
		n.unlisten(ip)
		for c := range n.conns {
			if c.local.ip == ip {
				c.abort()
			}
		}
	})
}

// PowerOff ends a host without a word to others: they hear nothing more.
func (n *Network) PowerOff(ip string) {
	n.change(func() {
		n.unlisten(ip)
		n.dark[ip] = true
		for c := range n.conns {
			if c.local.ip == ip {
				c.lost = true
			}
		}
	})
}

// PowerOn lets a host be reached again. Its old connections are unknown there,
// and packets on them are answered by a reset.
func (n *Network) PowerOn(ip string) {
	n.change(func() {
		delete(n.dark, ip)
		for c := range n.conns {
			if c.local.ip == ip && c.lost {
				c.abort()
			}
		}
	})
}

func (n *Network) unlisten(ip string) {
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.closed = true
			l.cond.Broadcast()
			delete(n.listeners, address)
		}
	}
}

// change changes paths or hosts, which may concern anybody.
func (n *Network) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	n.dialling.Broadcast()
	for c := range n.conns {
		c.cond.Broadcast()
	}
}

// reaches says that packets go through. It needs the lock.
func (n *Network) reaches(from, to string) bool {
	return !n.cuts[path{from, to}] && !n.dark[from] && !n.dark[to]
}

// wake wakes those who wait for a condition after a while.
func (n *Network) wake(cond *sync.Cond, after time.Duration) {
	time.AfterFunc(after, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		cond.Broadcast()
	})
}

func hostOf(address string) string {
	return netip.MustParseAddrPort(address).Addr().String()
}

// endpoint is one end of a connection.
type endpoint struct {
	ip   string
	port int
}

func (e endpoint) addr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(e.ip), Port: e.port} }

// listener takes connections to one address.
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

// Dial connects to an address. Nobody who listens there refuses; a cut path is
// silent until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	stop := context.AfterFunc(ctx, func() { n.wake(n.dialling, 0) })
	defer stop()
	at := time.Now().Add(2 * n.delay)
	n.wake(n.dialling, 2*n.delay)
	n.mu.Lock()
	defer n.mu.Unlock()
	to := hostOf(address)
	for time.Now().Before(at) || !n.reaches(h.ip, to) || !n.reaches(to, h.ip) {
		if ctx.Err() != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		n.dialling.Wait()
	}
	l := n.listeners[address]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	n.nextPort++
	here := endpoint{h.ip, n.nextPort}
	there := endpoint{to, int(netip.MustParseAddrPort(address).Port())}
	near, far := newPair(n, here, there)
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	l.waiting = append(l.waiting, far)
	l.cond.Broadcast()
	return near, nil
}
