package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// SetServices sets the configured services, which define the number of slots of
// their targets.
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
	return float64(c.opts.DefaultSlots)
}

// ApplyListing updates the targets from the platform's list. Targets that are
// no longer on the list get no new calls. They are removed by the first listing
// after their calls have ended.
func (c *Core) ApplyListing(now time.Time, listing external.Listing) {
	for _, t := range c.targets {
		t.listed = false
	}
	for _, listed := range listing.Targets {
		c.updateTarget(listed)
	}
	for name, p := range c.pools {
		c.removeUnlisted(p)
		p.rebuild(now, &c.opts)
		if len(p.all) == 0 {
			delete(c.pools, name)
		}
	}
}

func (c *Core) updateTarget(listed external.ListedTarget) {
	t, ok := c.targets[listed.ID]
	if ok && t.pool.service != listed.Service {
		c.removeTarget(t)
		ok = false
	}
	if !ok {
		t = c.addTarget(listed)
	}
	if t.address != listed.Address {
		// A new address means a new process, so the health and the leaving
		// report of the old process do not apply.
		t.address = listed.Address
		t.health = health{}
		t.leavingReportedAt = time.Time{}
	}
	t.domain, t.version = listed.Domain, listed.Version
	t.listed = true
	t.listedLeaving = listed.Leaving
}

func (c *Core) addTarget(listed external.ListedTarget) *target {
	p, ok := c.pools[listed.Service]
	if !ok {
		p = &pool{service: listed.Service, slots: c.slotsOf(listed.Service)}
		c.pools[listed.Service] = p
	}
	t := &target{
		id:      listed.ID,
		address: listed.Address,
		domain:  listed.Domain,
		hash:    hashTargetID(listed.ID),
		pool:    p,
		slots:   p.slots,
	}
	p.all = append(p.all, t)
	c.targets[t.id] = t
	c.sortedTargets = nil
	return t
}

func (c *Core) removeTarget(t *target) {
	p := t.pool
	p.all = slices.DeleteFunc(p.all, func(other *target) bool { return other == t })
	p.removeReport(t)
	delete(c.targets, t.id)
	c.sortedTargets = nil
}

// removeUnlisted removes targets that are not on the list and have none of this
// instance's calls in flight. It removes none if the list names no target of
// the service.
func (c *Core) removeUnlisted(p *pool) {
	if !p.anyListed() {
		return
	}
	for _, t := range slices.Clone(p.all) {
		if !t.listed && t.online+t.batch == 0 {
			c.removeTarget(t)
		}
	}
}

// Status is the state of one target as seen by this instance.
type Status struct {
	Target  protocol.TargetID    `json:"target"`
	Service protocol.ServiceName `json:"service"`
	Domain  protocol.Domain      `json:"domain"`
	Address string               `json:"address"`
	Version string               `json:"version,omitempty"`
	// Online and Batch are the numbers of this instance's calls in flight.
	Online int `json:"online"`
	Batch  int `json:"batch"`
	// PeerStreams is the estimated number of streams of other instances.
	PeerStreams float64 `json:"others"`
	// Reported is the number of streams of all instances in the target's last
	// report. ReportedAt is the time for which the report is valid, zero if
	// there was no report.
	Reported   int       `json:"reported"`
	ReportedAt time.Time `json:"reported_at,omitzero"`
	// FirstByteMS is the mean time to the first byte in milliseconds.
	FirstByteMS float64 `json:"first_byte_ms"`
	Ejected     bool    `json:"ejected,omitempty"`
	Leaving     bool    `json:"leaving,omitempty"`
}

// targetsByID returns all targets, sorted by ID. The sorted list is kept until a
// target is added or removed, because callers ask for it many times per second.
func (c *Core) targetsByID() []*target {
	if c.sortedTargets == nil {
		c.sortedTargets = slices.SortedFunc(maps.Values(c.targets), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	}
	return c.sortedTargets
}

// Capacity returns the number of slots of a service's usable targets and the
// estimated number of streams that other instances have there.
func (c *Core) Capacity(now time.Time, service protocol.ServiceName) (slots int, peerStreams float64) {
	p, ok := c.pools[service]
	if !ok {
		return 0, 0
	}
	for _, t := range p.all {
		if t.health.isEjected(now) || t.isLeaving(now, &c.opts) {
			continue
		}
		slots += int(t.slots)
		peerStreams += t.estimatedPeerStreams(now, &c.opts)
	}
	return slots, peerStreams
}

// Targets returns the status of all targets, sorted by target ID.
func (c *Core) Targets(now time.Time) []Status {
	out := make([]Status, 0, len(c.targets))
	for _, t := range c.targetsByID() {
		out = append(out, Status{
			Target:      t.id,
			Service:     t.pool.service,
			Domain:      t.domain,
			Address:     t.address,
			Version:     t.version,
			Online:      t.online,
			Batch:       t.batch,
			PeerStreams: t.estimatedPeerStreams(now, &c.opts),
			Reported:    t.reportedStreams,
			ReportedAt:  t.reportedAt,
			FirstByteMS: t.health.firstByte * 1000,
			Ejected:     t.health.isEjected(now),
			Leaving:     t.isLeaving(now, &c.opts),
		})
	}
	return out
}

// OnlineInFlight returns the number of this instance's online calls in flight at
// a target.
func (c *Core) OnlineInFlight(id protocol.TargetID) int {
	if t, ok := c.targets[id]; ok {
		return t.online
	}
	return 0
}
