package targetconn

import (
	"context"
	"net"
	"sync"
	"time"

	"merlintiller/internal/external"
)

const (
	// dialTimeout bounds a connect. Targets stand within a few milliseconds; a
	// connect that takes longer meets a cut or a dead machine, and the request
	// still has time to go elsewhere.
	dialTimeout = 250 * time.Millisecond
	// idleUnknown is how long a connection is kept whose target did not say.
	idleUnknown = 10 * time.Second
	// idleMargin is how much earlier than the target this side stops using an
	// idle connection, so that no request crosses the target's close.
	idleMargin = 700 * time.Millisecond
	// idleEach bounds the idle connections to one target.
	idleEach = 64
	// sweepEvery is how often connections past their time are closed.
	sweepEvery = 5 * time.Second
)

// pool keeps idle connections, the one used last first, so that the others run
// out of their time.
type pool struct {
	network external.Network
	now     func() time.Time

	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
}

func newPool(network external.Network, now func() time.Time) *pool {
	return &pool{network: network, now: now, idle: map[string][]*conn{}}
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.network.Dial(ctx, address)
}

// closeAll closes all idle connections.
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

// take gives an idle connection that is still good.
func (p *pool) take(address string) (*conn, bool) {
	for {
		c := p.pop(address)
		if c == nil {
			return nil, false
		}
		if p.usable(c) && c.quiet() {
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

func (p *pool) usable(c *conn) bool {
	limit := c.idleLimit
	if limit == 0 {
		limit = idleUnknown
	}
	return p.now().Sub(c.idleSince) < limit-min(idleMargin, limit/2)
}

func (p *pool) put(c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if list := p.idle[c.address]; len(list) < idleEach {
		p.idle[c.address] = append(list, c)
		return
	}
	c.close()
}

// sweep closes what is past its time. Targets come and go, and their addresses
// with them.
func (p *pool) sweep() {
	now := p.now()
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.usable(c) {
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

// has says that an idle connection to an address is kept.
func (p *pool) has(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// forget closes the idle connections to an address.
func (p *pool) forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
