package limiter

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// tenure is this instance's hold of a slot.
type tenure struct {
	fence protocol.Offset
	// from is when the slot begins to fill: after every token that a former
	// holder gave away has ended.
	from time.Time
	// givenUp says that the slot is being released and is not used any more.
	givenUp bool
	// wonAt is when this instance read that it won the slot, and handed what
	// the former holder handed over.
	wonAt  time.Time
	handed handover
}

// Core is the limiter of one instance: which tokens it has, gives and asks for.
// It has no clock, no I/O and no goroutine, and is not safe for concurrent use.
type Core struct {
	settings Settings
	self     protocol.InstanceID
	domain   protocol.Domain

	fleet       *protocol.Fleet
	generations generations
	// settled counts changes that settled, so that accounts follow them.
	settled  int
	accounts map[protocol.OrganisationID]*account
	// held are the slots this instance holds; authority is the time until
	// which it may use them.
	held      map[SlotKey]tenure
	authority time.Time
	// holders says whom to ask. It is a hint: the asked instance decides.
	holders   map[SlotKey]protocol.InstanceID
	handovers handovers
	// fractions numbers the lent fractions.
	fractions uint64
}

// NewCore returns a limiter that holds nothing.
func NewCore(self protocol.InstanceID, domain protocol.Domain, settings Settings) *Core {
	return &Core{
		settings:  settings,
		self:      self,
		domain:    domain,
		fleet:     &protocol.Fleet{Version: protocol.NoOffset},
		accounts:  map[protocol.OrganisationID]*account{},
		held:      map[SlotKey]tenure{},
		holders:   map[SlotKey]protocol.InstanceID{},
		handovers: newHandovers(),
	}
}

// Configure puts a configuration in force.
// direct says that this instance saw every configuration up to this one.
func (c *Core) Configure(now time.Time, fleet *protocol.Fleet, direct bool) {
	if fleet.Version <= c.fleet.Version {
		return
	}
	c.generations.replace(now, c.fleet, fleet, direct)
	c.fleet = fleet
	c.followAll(now)
}

// followAll brings the organisations with a bucket here to the configuration in
// force, so that a raised burst begins to fill now and not at the next request.
func (c *Core) followAll(now time.Time) {
	for id, a := range c.accounts {
		if used := a.used; a.holdsBucket() {
			if a = c.account(now, id); a != nil {
				a.used = used
			}
		}
	}
}

// Version is the configuration that this instance follows.
func (c *Core) Version() protocol.Offset { return c.fleet.Version }

// Unsettled reports whether some part waits for all holders to follow.
func (c *Core) Unsettled() bool { return len(c.generations.past) > 0 }

// Settle notes that every holder follows a version at least.
func (c *Core) Settle(now time.Time, version protocol.Offset) {
	if c.generations.settle(version) {
		c.settled++
		c.followAll(now)
	}
}

// SetUsableUntil says until when the held slots may be used.
func (c *Core) SetUsableUntil(until time.Time) {
	c.authority = until
}

// AddSlot notes that this instance won a slot at a fencing number. The slot starts
// empty, and fills only once the former holder's last tokens have ended.
func (c *Core) AddSlot(now time.Time, key SlotKey, fence protocol.Offset) {
	if t, ok := c.held[key]; ok && t.fence == fence {
		return
	}
	c.RemoveSlot(key)
	c.held[key] = tenure{
		fence:  fence,
		from:   now.Add(c.settings.longer(c.settings.GrantLife)),
		wonAt:  now,
		handed: c.handovers.claimed(now, key),
	}
}

// RemoveSlot notes that this instance no longer holds a slot. Its tokens are gone.
func (c *Core) RemoveSlot(key SlotKey) {
	if _, ok := c.held[key]; !ok {
		return
	}
	delete(c.held, key)
	for _, a := range c.accounts {
		for i := range a.sources {
			if a.sources[i].part.Key == key {
				a.sources[i].bucket = nil
			}
		}
	}
}

// DropAll notes that the session under which the slots were held is over.
func (c *Core) DropAll() {
	for key := range c.held {
		c.RemoveSlot(key)
	}
}

// Keep drops the slots that replay no longer gives to this instance.
func (c *Core) Keep(holds func(SlotKey) bool) {
	for key := range c.held {
		if !holds(key) {
			c.RemoveSlot(key)
		}
	}
}

// Holds reports whether this instance may use a slot now.
func (c *Core) Holds(now time.Time, key SlotKey) bool {
	t, ok := c.held[key]
	return ok && !t.givenUp && now.Before(c.authority)
}

// SetHolders says whom to ask for the slots that others hold.
func (c *Core) SetHolders(holders map[SlotKey]protocol.InstanceID) {
	c.holders = holders
}

// account returns the account of an organisation, as the configuration in force
// has it, or nil if there is no such organisation.
func (c *Core) account(now time.Time, id protocol.OrganisationID) *account {
	a := c.accounts[id]
	if a != nil && a.version == c.fleet.Version && a.settled == c.settled {
		a.used = now
		return a
	}
	org, ok := c.fleet.Organisations[id]
	if !ok {
		delete(c.accounts, id)
		return nil
	}
	a = c.follow(now, a, org)
	a.used = now
	c.accounts[id] = a
	return a
}

// follow brings an account to the configuration in force.
func (c *Core) follow(now time.Time, old *account, org protocol.Organisation) *account {
	parts := c.generations.parts(org, c.fleet.Domains)
	a := &account{id: org.ID, version: c.fleet.Version, settled: c.settled, rate: org.Rate}
	a.sources = make([]source, len(parts))
	for i, part := range parts {
		a.sources[i].part = part
	}
	if old == nil {
		return a
	}
	a.demand, a.grants, a.fetching = old.demand, old.grants, old.fetching
	for i := range a.grants {
		// The slots are numbered anew, so a fraction's slot is not known.
		a.grants[i].id = 0
	}
	for i := range old.sources {
		a.keepBucket(now, &old.sources[i], c.settings)
	}
	return a
}

func (a *account) keepBucket(now time.Time, old *source, settings Settings) {
	if old.bucket == nil {
		return
	}
	for i := range a.sources {
		s := &a.sources[i]
		if s.part.Key == old.part.Key {
			s.bucket = old.bucket
			s.bucket.resize(now, settings.slower(s.part.Rate), s.part.Burst)
		}
	}
}

// bucketOf returns the bucket of a slot that this instance holds, or nil.
func (c *Core) bucketOf(now time.Time, a *account, s *source) *bucket {
	if !c.Holds(now, s.part.Key) {
		return nil
	}
	if s.bucket == nil {
		// Nothing of this organisation was used since the slot was won or the
		// rate changed, so it has been filling since then.
		t := c.held[s.part.Key]
		from := t.from
		if changed := c.generations.fillsFrom(a.id); changed.After(from) {
			from = changed
		}
		s.bucket = newBucket(c.settings.slower(s.part.Rate), s.part.Burst, from)
		s.bucket.tokens = t.startingTokens(a.id, s.part.Rate, s.part.Burst, c.settings.shorter(c.settings.GrantLife))
	}
	s.bucket.advance(now)
	return s.bucket
}

// Take gives tokens of a held slot to another instance.
func (c *Core) Take(now time.Time, args TakeArgs) TakeReply {
	reply := TakeReply{Version: c.fleet.Version}
	if !c.Holds(now, args.Slot) {
		return reply
	}
	a := c.account(now, args.Organisation)
	if a == nil {
		return reply
	}
	for i := range a.sources {
		s := &a.sources[i]
		if s.part.Key != args.Slot {
			continue
		}
		b := c.bucketOf(now, a, s)
		b.giveBack(now, args.GiveBack, args.Back)
		c.lend(now, b, args, &reply)
	}
	return reply
}

func (c *Core) lend(now time.Time, b *bucket, args TakeArgs, reply *TakeReply) {
	reply.Holder = true
	if args.Fraction {
		// Numbers of an earlier process must not be met again: a fraction it
		// lent could be given back here in place of another.
		c.fractions = max(c.fractions+1, uint64(now.UnixNano()))
		reply.Fraction = c.fractions
	}
	reply.Now = b.lend(now, args.Now, reply.Fraction, now.Add(c.settings.longer(c.settings.ExchangeTimeout)))
	reply.Ahead = b.lend(now, c.spare(b, args.Ahead), 0, now.Add(c.settings.longer(c.settings.GrantLife)))
	reply.Level = b.tokens
	reply.Wait = b.wait(1)
}

// spare bounds what one asker may take ahead of need: half of what is there, so
// that the last tokens stay where everybody finds them.
func (c *Core) spare(b *bucket, want float64) float64 {
	return min(want, math.Floor(b.tokens/2))
}

// Tidy forgets organisations that were not used for long. Their tokens go with
// them, except in held slots, which must be remembered: a forgotten bucket
// would come back filled.
func (c *Core) Tidy(now time.Time) {
	for id, a := range c.accounts {
		if now.Sub(a.used) > c.settings.Idle && !a.holdsBucket() {
			delete(c.accounts, id)
		}
	}
}

func (a *account) holdsBucket() bool {
	for i := range a.sources {
		if a.sources[i].bucket != nil {
			return true
		}
	}
	return false
}
