package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// SetServices takes in the configured services, for the slots of a target.
func (c *Core) SetServices(services map[protocol.ServiceName]protocol.Service) {
	c.services = services
	for name, p := range c.pools {
		p.slots = c.slotsOf(name)
		for _, t := range p.all {
			t.slots = p.slots
		}
	}
}

func (c *Core) slotsOf(name protocol.ServiceName) float64 {
	if n := c.services[name].Slots; n > 0 {
		return float64(n)
	}
	return float64(c.opts.SlotsPerTarget)
}

// ApplyListing takes in the platform's list. Targets that are not on it any more
// get no new work and are forgotten once their calls have ended.
func (c *Core) ApplyListing(now time.Time, listing external.Listing) {
	for _, t := range c.targets {
		t.listed = false
	}
	for _, listed := range listing.Targets {
		c.list(listed)
	}
	for name, p := range c.pools {
		c.forgetGone(p)
		p.rebuild(now, &c.opts)
		if len(p.all) == 0 {
			delete(c.pools, name)
		}
	}
}

func (c *Core) list(listed external.ListedTarget) {
	t, ok := c.targets[listed.ID]
	if ok && t.pool.service != listed.Service {
		c.remove(t)
		ok = false
	}
	if !ok {
		t = c.add(listed)
	}
	if t.address != listed.Address {
		// A new address is a new process: what was learnt of the old one
		// says nothing of it.
		t.address = listed.Address
		t.health = health{}
		t.saidLeaving = time.Time{}
	}
	t.domain = listed.Domain
	t.listed = true
	t.listedLeaving = listed.Leaving
}

func (c *Core) add(listed external.ListedTarget) *target {
	p, ok := c.pools[listed.Service]
	if !ok {
		p = &pool{service: listed.Service, slots: c.slotsOf(listed.Service)}
		c.pools[listed.Service] = p
	}
	t := &target{
		id:      listed.ID,
		address: listed.Address,
		domain:  listed.Domain,
		hash:    hashOf(listed.ID),
		pool:    p,
		slots:   p.slots,
	}
	p.all = append(p.all, t)
	c.targets[t.id] = t
	c.ordered = nil
	return t
}

func (c *Core) remove(t *target) {
	p := t.pool
	p.all = slices.DeleteFunc(p.all, func(other *target) bool { return other == t })
	p.forgetReport(t)
	delete(c.targets, t.id)
	c.ordered = nil
}

// forgetGone drops targets that left the list and have no own call in flight.
func (c *Core) forgetGone(p *pool) {
	if !p.anyListed() {
		return
	}
	for _, t := range slices.Clone(p.all) {
		if !t.listed && t.online+t.batch == 0 {
			c.remove(t)
		}
	}
}

// Status is one target as the core sees it.
type Status struct {
	Target  protocol.TargetID    `json:"target"`
	Service protocol.ServiceName `json:"service"`
	Domain  protocol.Domain      `json:"domain"`
	Address string               `json:"address"`
	// Online and Batch count own calls in flight.
	Online int `json:"online"`
	Batch  int `json:"batch"`
	// PeerStreams is the estimate of what other instances have in flight.
	PeerStreams float64 `json:"others"`
	// Reported is the number of streams in the target's last report, from all
	// instances, and ReportedAt the time it speaks of, zero if none came.
	Reported   int       `json:"reported"`
	ReportedAt time.Time `json:"reported_at,omitzero"`
	// FirstByteMS is the mean time to the first byte in milliseconds.
	FirstByteMS float64 `json:"first_byte_ms"`
	Ejected     bool    `json:"ejected,omitempty"`
	Leaving     bool    `json:"leaving,omitempty"`
}

// inOrder is all targets by id. The order is kept until a target comes or goes:
// the list is looked at many times a second.
func (c *Core) inOrder() []*target {
	if c.ordered == nil {
		c.ordered = slices.SortedFunc(maps.Values(c.targets), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	}
	return c.ordered
}

// Capacity is what a service's usable targets hold: their slots, and the
// estimate of what other instances have in flight there.
func (c *Core) Capacity(now time.Time, service protocol.ServiceName) (slots int, others float64) {
	p, ok := c.pools[service]
	if !ok {
		return 0, 0
	}
	for _, t := range p.all {
		if t.health.ejected(now) || t.leaving(now, &c.opts) {
			continue
		}
		slots += int(t.slots)
		others += t.othersNow(now, &c.opts)
	}
	return slots, others
}

// Targets lists what the core knows, by target id.
func (c *Core) Targets(now time.Time) []Status {
	out := make([]Status, 0, len(c.targets))
	for _, t := range c.inOrder() {
		out = append(out, Status{
			Target:      t.id,
			Service:     t.pool.service,
			Domain:      t.domain,
			Address:     t.address,
			Online:      t.online,
			Batch:       t.batch,
			PeerStreams: t.othersNow(now, &c.opts),
			Reported:    t.reported,
			ReportedAt:  t.reportedAt,
			FirstByteMS: t.health.firstByte * 1000,
			Ejected:     t.health.ejected(now),
			Leaving:     t.leaving(now, &c.opts),
		})
	}
	return out
}

// OnlineInFlight counts the own online calls at a target.
func (c *Core) OnlineInFlight(id protocol.TargetID) int {
	if t, ok := c.targets[id]; ok {
		return t.online
	}
	return 0
}
