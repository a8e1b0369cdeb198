package limiter

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// ClaimAction is a decision about the lease of a slot.
type ClaimAction struct {
	Key SlotKey
	// Replaces is the fencing number of the claim to be replaced.
	Replaces protocol.Offset
	// Release gives the slot back instead, for another instance to claim.
	Release bool
	// AskGone: before anything, ask this instance whether Session is gone.
	// Its answer counts only if it comes from Address.
	AskGone protocol.InstanceID
	Address string
	Session protocol.SessionID
}

// Claims decides which slots this instance claims and gives back. It has no
// clock, no I/O and no goroutine.
type Claims struct {
	settings Settings
	self     protocol.InstanceID
	domain   protocol.Domain
	promises *promises
	// expiredAt is when this instance first read that a session had ended.
	expiredAt map[protocol.SessionID]time.Time
	gone      map[protocol.SessionID]bool
	// askedAt is when an instance was last asked whether a session is gone.
	askedAt map[protocol.SessionID]time.Time
	// wanted, held and members are of the latest step.
	wanted  Assignment
	held    Assignment
	members []protocol.InstanceID
	leaving bool
	// left are sessions that are about to close.
	left map[protocol.SessionID]bool
	// plan is who should claim the slots of leavers, until when.
	plan      Assignment
	planUntil [SlotsPerDomain]time.Time
}

// NewClaims returns the decisions of an instance.
func NewClaims(self protocol.InstanceID, domain protocol.Domain, settings Settings) *Claims {
	return &Claims{
		settings:  settings,
		self:      self,
		domain:    domain,
		promises:  newPromises(settings.longer(settings.Promise), 2*settings.Grace),
		expiredAt: map[protocol.SessionID]time.Time{},
		gone:      map[protocol.SessionID]bool{},
		askedAt:   map[protocol.SessionID]time.Time{},
		left:      map[protocol.SessionID]bool{},
	}
}

// Promise answers a holder that can't renew its session.
func (c *Claims) Promise(now time.Time, session protocol.SessionID) bool {
	return c.promises.promise(now, session)
}

// Gone notes that the process at a holder's address no longer uses the slots
// of a session.
func (c *Claims) Gone(session protocol.SessionID) {
	c.gone[session] = true
}

// Leave stops claiming, chooses the mates that should hold the slots next, and
// returns all mates.
func (c *Claims) Leave() ([]protocol.InstanceID, Assignment) {
	c.leaving = true
	mates := slices.DeleteFunc(slices.Clone(c.members), func(id protocol.InstanceID) bool { return id == c.self })
	c.wanted = Assign(c.domain, mates, c.held)
	var plan Assignment
	for slot, holder := range c.held {
		if holder == c.self {
			plan[slot] = c.wanted[slot]
		}
	}
	return mates, plan
}

// Left notes that a session is about to close, should hold no slot, and who
// should claim the ones it had.
func (c *Claims) Left(now time.Time, session protocol.SessionID, plan Assignment) {
	c.left[session] = true
	for slot, id := range plan {
		if id != "" {
			c.plan[slot] = id
			c.planUntil[slot] = now.Add(handoverLife)
		}
	}
}

// followPlan puts the plan of leavers in place of the own choice.
func (c *Claims) followPlan(now time.Time) {
	for slot, id := range c.plan {
		if id != "" && now.Before(c.planUntil[slot]) && slices.Contains(c.members, id) {
			c.wanted[slot] = id
		}
	}
}

// Successor is the instance that should hold a slot next, empty if none.
func (c *Claims) Successor(key SlotKey) protocol.InstanceID {
	return c.wanted[key.Slot]
}

// Step decides from what replay says. session is this instance's own.
func (c *Claims) Step(now time.Time, session protocol.SessionID, view View) []ClaimAction {
	mates := view.mates(c.domain)
	own, ids := c.ownAndIDs(session, mates)
	if own == nil || c.leaving {
		return nil
	}
	c.forget(now, view)
	c.members, c.held = ids, view.holdersIn(c.domain)
	c.wanted = Assign(c.domain, ids, c.held)
	c.followPlan(now)
	var actions []ClaimAction
	for slot, holder := range c.wanted {
		key := SlotKey{Domain: c.domain, Slot: slot}
		h, held := view.Holdings[key]
		if action, ok := c.decide(now, own, key, h, held, holder); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

func (c *Claims) ownAndIDs(session protocol.SessionID, mates []Member) (*Member, []protocol.InstanceID) {
	var own *Member
	ids := make([]protocol.InstanceID, 0, len(mates))
	for i := range mates {
		if c.left[mates[i].Session] {
			continue
		}
		ids = append(ids, mates[i].Instance)
		if mates[i].Session == session && session != 0 {
			own = &mates[i]
		}
	}
	return own, ids
}

func (c *Claims) decide(now time.Time, own *Member, key SlotKey, h Holding, held bool, wanted protocol.InstanceID) (ClaimAction, bool) {
	if !held {
		claim := ClaimAction{Key: key, Replaces: protocol.NoOffset}
		return claim, wanted == c.self
	}
	if !h.Ended {
		// A slot moves to the instance that should hold it, so that a death
		// costs every organisation the same. Its tokens are handed over.
		release := ClaimAction{Key: key, Release: true}
		return release, h.Session == own.Session && wanted != c.self
	}
	if h.Session == own.Session || h.Instance == c.self && h.Address == own.Address {
		// This process uses the slots of its present session only, and no
		// other process can be at its address.
		c.gone[h.Session] = true
	}
	return c.decideEnded(now, own, key, h, wanted)
}

// askGoneEvery is how often an instance is asked whether a session is gone, once
// for all the session's slots: a dead one does not answer, and asking must not
// hold up claims that wait behind it.
const askGoneEvery = 2 * time.Second

// claimPatience is how long a slot is left to the instance that should hold it.
// That one may not be allowed to claim: it may have started too late for the old
// holder to know it. After that any instance that may claims the slot.
const claimPatience = 2 * time.Second

// decideEnded decides on a slot whose holder's session expired. The holder may
// be alive, cut off from the log, and going on by promises: see extension.
func (c *Claims) decideEnded(now time.Time, own *Member, key SlotKey, h Holding, wanted protocol.InstanceID) (ClaimAction, bool) {
	if _, ok := c.expiredAt[h.Session]; !ok {
		c.expiredAt[h.Session] = now
	}
	claim := ClaimAction{Key: key, Replaces: h.Fence}
	waited := c.promises.refuse(now, h.Session)
	known := own.Opened < h.Settled
	free := c.gone[h.Session] || known && waited
	patient := now.Sub(c.expiredAt[h.Session]) < claimPatience
	if wanted != c.self && (patient || !free) {
		return claim, false
	}
	if free {
		return claim, true
	}
	grace := c.settings.longer(c.settings.Grace)
	if now.Sub(c.expiredAt[h.Session]) >= grace {
		return claim, true
	}
	if now.Sub(c.askedAt[h.Session]) < askGoneEvery {
		return ClaimAction{}, false
	}
	c.askedAt[h.Session] = now
	return ClaimAction{Key: key, AskGone: h.Instance, Address: h.Address, Session: h.Session}, true
}

// forget drops what is known of sessions that hold no slot any more.
func (c *Claims) forget(now time.Time, view View) {
	holding := make(map[protocol.SessionID]bool)
	for _, h := range view.Holdings {
		holding[h.Session] = true
	}
	c.promises.forget(now)
	for session := range c.expiredAt {
		if !holding[session] {
			delete(c.expiredAt, session)
		}
	}
	open := make(map[protocol.SessionID]bool)
	for _, m := range view.Members {
		open[m.Session] = true
	}
	for session := range c.left {
		if !open[session] {
			delete(c.left, session)
		}
	}
	for session := range c.askedAt {
		if !holding[session] {
			delete(c.askedAt, session)
		}
	}
	for session := range c.gone {
		if !holding[session] {
			delete(c.gone, session)
		}
	}
}
