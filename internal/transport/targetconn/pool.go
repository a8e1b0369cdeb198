package targetconn

import (
	"context"
	"net"
	"sync"
	"time"

	"merlintiller/internal/external"
)

const (
	// dialTimeout bounds connecting. Targets are within a few milliseconds. A connect
	// that takes longer indicates a network partition or a machine that is down, and
	// the request still has time to be sent to another target.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the target stated
	// no limit.
	defaultIdleLimit = 10 * time.Second
	// idleMargin is how much earlier than the target this side stops using an idle
	// connection, so that the target does not close it while a request is being sent.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// sweepInterval is the interval at which expired connections are closed.
	sweepInterval = 5 * time.Second
)

// pool keeps idle connections. It reuses the most recently used connection first, so
// that surplus connections expire.
type pool struct {
	network external.Network
	now     func() time.Time

	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
}

func newPool(network external.Network, now func() time.Time) *pool {
	return &pool{network: network, now: now, idle: map[string][]*conn{}}
}

func (p *pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.network.Dial(ctx, address)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.close()
		}
	}
}

// get returns an idle connection that has not expired and has received nothing since
// its last use.
func (p *pool) get(address string) (*conn, bool) {
	for {
		c := p.pop(address)
		if c == nil {
			return nil, false
		}
		if p.unexpired(c) && c.noInput() {
			return c, true
		}
		c.close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *pool) unexpired(c *conn) bool {
	limit := c.idleLimit
	if limit == 0 {
		limit = defaultIdleLimit
	}
	return p.now().Sub(c.idleSince) < limit-min(idleMargin, limit/2)
}

func (p *pool) put(c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if list := p.idle[c.address]; len(list) < maxIdlePerTarget {
		p.idle[c.address] = append(list, c)
		return
	}
	c.close()
}

// sweep closes expired connections, also those to targets that no longer exist and
// whose addresses no request uses any more.
func (p *pool) sweep() {
	now := p.now()
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.unexpired(c) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// hasIdle reports whether the pool holds an idle connection to an address.
func (p *pool) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
