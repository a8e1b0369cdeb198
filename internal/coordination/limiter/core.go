package limiter

import (
	"math"
	"time"

	"merlintiller/internal/protocol"
)

// heldSlot is a slot whose lease this instance holds.
type heldSlot struct {
	fence protocol.Offset
	// fillsFrom is when the slot begins to fill: after all grants of the former
	// holder have expired.
	fillsFrom time.Time
	// closed is true once the slot is being released and is no longer used.
	closed bool
	// acquiredAt is when this instance read that its claim was accepted.
	// handover holds the tokens that the former holder handed over.
	acquiredAt time.Time
	handover   handover
}

// Core decides which tokens an instance spends, grants and asks for. It has no
// clock, no I/O and no goroutines, and is not safe for concurrent use.
type Core struct {
	settings Settings
	self     protocol.InstanceID
	domain   protocol.Domain

	fleet   *protocol.Fleet
	rollout rollout
	// completedRollouts counts the rollouts that have completed. An account
	// whose count differs has to recompute its quotas.
	completedRollouts int
	accounts          map[protocol.OrganisationID]*account
	// held are the slots that this instance holds. It may use them until
	// usableUntil.
	held        map[SlotKey]heldSlot
	usableUntil time.Time
	// holders names the instance to ask for each slot. The entries are hints:
	// the instance that is asked decides whether it holds the slot.
	holders   map[SlotKey]protocol.InstanceID
	handovers handovers
	// lastFractionID is the id of the latest fractional grant.
	lastFractionID uint64
}

// NewCore returns a Core without slots.
func NewCore(self protocol.InstanceID, domain protocol.Domain, settings Settings) *Core {
	return &Core{
		settings:  settings,
		self:      self,
		domain:    domain,
		fleet:     &protocol.Fleet{Version: protocol.NoOffset},
		accounts:  map[protocol.OrganisationID]*account{},
		held:      map[SlotKey]heldSlot{},
		holders:   map[SlotKey]protocol.InstanceID{},
		handovers: newHandovers(),
	}
}

// Configure applies a new configuration. consecutive is true if this instance
// has applied every configuration before it.
func (c *Core) Configure(now time.Time, fleet *protocol.Fleet, consecutive bool) {
	if fleet.Version <= c.fleet.Version {
		return
	}
	c.rollout.supersede(now, c.fleet, fleet, consecutive)
	c.fleet = fleet
	c.updateAccounts(now)
}

// updateAccounts applies the current configuration to all organisations that
// have a bucket here, so that a raised burst begins to fill now and not at the
// next request.
func (c *Core) updateAccounts(now time.Time) {
	for id, a := range c.accounts {
		if lastUsed := a.lastUsed; a.hasBucket() {
			if a = c.account(now, id); a != nil {
				a.lastUsed = lastUsed
			}
		}
	}
}

// Version returns the version of the configuration that this instance has
// applied.
func (c *Core) Version() protocol.Offset { return c.fleet.Version }

// RolloutPending reports whether some quota is kept low until all holders have
// applied the configuration.
func (c *Core) RolloutPending() bool { return len(c.rollout.superseded) > 0 }

// ConfirmVersion records that every holder has applied at least the given
// version.
func (c *Core) ConfirmVersion(now time.Time, version protocol.Offset) {
	if c.rollout.confirm(version) {
		c.completedRollouts++
		c.updateAccounts(now)
	}
}

// SetUsableUntil sets the time until which the held slots may be used.
func (c *Core) SetUsableUntil(until time.Time) {
	c.usableUntil = until
}

// AddSlot records that this instance's claim of a slot was accepted at a
// fencing number. Apart from tokens handed over, the slot starts empty, and it
// fills only after all grants of the former holder have expired.
func (c *Core) AddSlot(now time.Time, key SlotKey, fence protocol.Offset) {
	if slot, ok := c.held[key]; ok && slot.fence == fence {
		return
	}
	c.RemoveSlot(key)
	c.held[key] = heldSlot{
		fence:      fence,
		fillsFrom:  now.Add(c.settings.padForDrift(c.settings.GrantLifetime)),
		acquiredAt: now,
		handover:   c.handovers.take(now, key),
	}
}

// RemoveSlot records that this instance no longer holds a slot, and discards
// the slot's tokens.
func (c *Core) RemoveSlot(key SlotKey) {
	if _, ok := c.held[key]; !ok {
		return
	}
	delete(c.held, key)
	for _, a := range c.accounts {
		for i := range a.slots {
			if a.slots[i].quota.Key == key {
				a.slots[i].bucket = nil
			}
		}
	}
}

// RemoveAllSlots records that the session that held the slots has ended.
func (c *Core) RemoveAllSlots() {
	for key := range c.held {
		c.RemoveSlot(key)
	}
}

// RetainSlots removes the slots for which holds returns false.
func (c *Core) RetainSlots(holds func(SlotKey) bool) {
	for key := range c.held {
		if !holds(key) {
			c.RemoveSlot(key)
		}
	}
}

// MayUse reports whether this instance may use a slot now.
func (c *Core) MayUse(now time.Time, key SlotKey) bool {
	slot, ok := c.held[key]
	return ok && !slot.closed && now.Before(c.usableUntil)
}

// SetHolders sets the instances to ask for slots.
func (c *Core) SetHolders(holders map[SlotKey]protocol.InstanceID) {
	c.holders = holders
}

// account returns an organisation's account, updated to the current
// configuration, or nil if the organisation is not configured.
func (c *Core) account(now time.Time, id protocol.OrganisationID) *account {
	a := c.accounts[id]
	if a != nil && a.version == c.fleet.Version && a.completedRollouts == c.completedRollouts {
		a.lastUsed = now
		return a
	}
	org, ok := c.fleet.Organisations[id]
	if !ok {
		delete(c.accounts, id)
		return nil
	}
	a = c.updateAccount(now, a, org)
	a.lastUsed = now
	c.accounts[id] = a
	return a
}

// updateAccount returns an account for the current configuration, with the
// state of the old account.
func (c *Core) updateAccount(now time.Time, old *account, org protocol.Organisation) *account {
	quotas := c.rollout.quotas(org, c.fleet.Domains)
	a := &account{id: org.ID, version: c.fleet.Version, completedRollouts: c.completedRollouts, rate: org.Rate}
	a.slots = make([]slotState, len(quotas))
	for i, quota := range quotas {
		a.slots[i].quota = quota
	}
	if old == nil {
		return a
	}
	a.demand, a.grants, a.prefetching = old.demand, old.grants, old.prefetching
	for i := range a.grants {
		// The slot indexes have changed, so the slot to which a fraction would
		// be returned is unknown.
		a.grants[i].id = 0
	}
	for i := range old.slots {
		a.adoptBucket(now, &old.slots[i], c.settings)
	}
	return a
}

func (a *account) adoptBucket(now time.Time, old *slotState, settings Settings) {
	if old.bucket == nil {
		return
	}
	for i := range a.slots {
		s := &a.slots[i]
		if s.quota.Key == old.quota.Key {
			s.bucket = old.bucket
			s.bucket.resize(now, settings.rateForDrift(s.quota.Rate), s.quota.Burst)
		}
	}
}

// bucketOf returns the bucket of a slot that this instance may use, or nil.
func (c *Core) bucketOf(now time.Time, a *account, s *slotState) *bucket {
	if !c.MayUse(now, s.quota.Key) {
		return nil
	}
	if s.bucket == nil {
		// The organisation has used no tokens of this slot since the slot was
		// acquired or its quota changed, so the bucket has been filling since
		// then.
		slot := c.held[s.quota.Key]
		from := slot.fillsFrom
		if changed := c.rollout.bucketStart(a.id); changed.After(from) {
			from = changed
		}
		s.bucket = newBucket(c.settings.rateForDrift(s.quota.Rate), s.quota.Burst, from)
		s.bucket.tokens = slot.initialTokens(a.id, s.quota.Rate, s.quota.Burst, c.settings.trimForDrift(c.settings.GrantLifetime))
	}
	s.bucket.advance(now)
	return s.bucket
}

// Take grants tokens of a held slot to another instance.
func (c *Core) Take(now time.Time, args TakeArgs) TakeReply {
	reply := TakeReply{Version: c.fleet.Version}
	if !c.MayUse(now, args.Slot) {
		return reply
	}
	a := c.account(now, args.Organisation)
	if a == nil {
		return reply
	}
	for i := range a.slots {
		s := &a.slots[i]
		if s.quota.Key != args.Slot {
			continue
		}
		b := c.bucketOf(now, a, s)
		b.refund(now, args.GiveBack, args.Back)
		c.grantTokens(now, b, args, &reply)
	}
	return reply
}

func (c *Core) grantTokens(now time.Time, b *bucket, args TakeArgs, reply *TakeReply) {
	reply.Holder = true
	if args.Fraction {
		// The clock keeps ids unique across restarts: a fraction that was
		// granted before a restart must not be returned in place of another
		// one.
		c.lastFractionID = max(c.lastFractionID+1, uint64(now.UnixNano()))
		reply.Fraction = c.lastFractionID
	}
	reply.Now = b.issue(now, args.Now, reply.Fraction, now.Add(c.settings.padForDrift(c.settings.ExchangeTimeout)))
	reply.Ahead = b.issue(now, c.maxPrefetch(b, args.Ahead), 0, now.Add(c.settings.padForDrift(c.settings.GrantLifetime)))
	reply.Level = b.tokens
	reply.Wait = b.timeUntil(1)
}

// maxPrefetch limits a prefetch to half of the available tokens, so that the
// last tokens remain with the holder, where every instance can ask for them.
func (c *Core) maxPrefetch(b *bucket, want float64) float64 {
	return min(want, math.Floor(b.tokens/2))
}

// EvictIdle evicts organisations that were not used within IdleTimeout,
// together with their tokens. Organisations with a bucket in a held slot are
// kept, because a new bucket would count as filled.
func (c *Core) EvictIdle(now time.Time) {
	for id, a := range c.accounts {
		if now.Sub(a.lastUsed) > c.settings.IdleTimeout && !a.hasBucket() {
			delete(c.accounts, id)
		}
	}
}

func (a *account) hasBucket() bool {
	for i := range a.slots {
		if a.slots[i].bucket != nil {
			return true
		}
	}
	return false
}
