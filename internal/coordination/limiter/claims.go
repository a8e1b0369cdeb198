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
	AskGone protocol.InstanceID
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
	// wanted is the assignment for members, which change seldom.
	wanted  [SlotsPerDomain]protocol.InstanceID
	members []protocol.InstanceID
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

// Step decides from what replay says. session is this instance's own.
func (c *Claims) Step(now time.Time, session protocol.SessionID, view View) []ClaimAction {
	mates := view.mates(c.domain)
	own, ids := c.ownAndIDs(session, mates)
	if own == nil {
		return nil
	}
	c.forget(now, view)
	if !slices.Equal(ids, c.members) {
		c.members, c.wanted = ids, Assign(c.domain, ids)
	}
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
	if h.Session == own.Session || h.Instance == c.self {
		// This process uses the slots of its present session only, and no
		// other process answers for this instance.
		c.gone[h.Session] = true
	}
	return c.decideEnded(now, own, key, h, wanted)
}

// decideEnded decides on a slot whose holder's session expired. The holder may
// be alive, cut off from the log, and going on by promises: see extension.
func (c *Claims) decideEnded(now time.Time, own *Member, key SlotKey, h Holding, wanted protocol.InstanceID) (ClaimAction, bool) {
	if _, ok := c.expiredAt[h.Session]; !ok {
		c.expiredAt[h.Session] = now
	}
	claim := ClaimAction{Key: key, Replaces: h.Fence}
	waited := c.promises.refuse(now, h.Session)
	if wanted != c.self {
		return claim, false
	}
	if c.gone[h.Session] {
		return claim, true
	}
	known := own.Opened < h.Settled
	if known && waited {
		return claim, true
	}
	grace := c.settings.longer(c.settings.Grace)
	if now.Sub(c.expiredAt[h.Session]) >= grace {
		return claim, true
	}
	return ClaimAction{Key: key, AskGone: h.Instance, Session: h.Session}, true
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
	for session := range c.gone {
		if !holding[session] {
			delete(c.gone, session)
		}
	}
}
