package limiter

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// ClaimAction is an action on the lease of a slot: a claim, unless Release or
// ConfirmWith is set.
type ClaimAction struct {
	Key SlotKey
	// Replaces is the fencing number of the claim to be replaced, or NoOffset.
	Replaces protocol.Offset
	// Release: release the slot, so that another instance can claim it.
	Release bool
	// ConfirmWith: do not claim yet, but ask this instance whether it still
	// uses the slots of Session. The reply counts only if it comes from the
	// process at Address.
	ConfirmWith protocol.InstanceID
	Address     string
	Session     protocol.SessionID
}

// ClaimPolicy decides which slots this instance claims and releases. It has no
// clock, no I/O and no goroutines.
type ClaimPolicy struct {
	settings Settings
	self     protocol.InstanceID
	domain   protocol.Domain
	promises *givenPromises
	// expirySeenAt is when this instance first read that a session had expired.
	// relinquished holds the sessions whose slots their holder confirmed not to
	// use any more.
	expirySeenAt map[protocol.SessionID]time.Time
	relinquished map[protocol.SessionID]bool
	// confirmAskedAt is when a holder was last asked whether it still uses the
	// slots of a session.
	confirmAskedAt map[protocol.SessionID]time.Time
	// assigned, held and memberIDs are results of the latest NextActions.
	assigned    Assignment
	held        Assignment
	memberIDs   []protocol.InstanceID
	selfLeaving bool
	// leaving holds the sessions of peers that are about to close.
	leaving map[protocol.SessionID]bool
	// leavePlan names the instances that should claim the slots of leaving
	// peers. An entry is valid until the time in leavePlanUntil.
	leavePlan      Assignment
	leavePlanUntil [SlotsPerDomain]time.Time
}

// NewClaimPolicy returns the claim policy of an instance.
func NewClaimPolicy(self protocol.InstanceID, domain protocol.Domain, settings Settings) *ClaimPolicy {
	return &ClaimPolicy{
		settings:       settings,
		self:           self,
		domain:         domain,
		promises:       newGivenPromises(settings.padForDrift(settings.PromiseDuration), 2*settings.GracePeriod),
		expirySeenAt:   map[protocol.SessionID]time.Time{},
		relinquished:   map[protocol.SessionID]bool{},
		confirmAskedAt: map[protocol.SessionID]time.Time{},
		leaving:        map[protocol.SessionID]bool{},
	}
}

// Promise answers the request of a holder that cannot renew its session. If it
// returns true, this instance does not claim the session's slots for
// PromiseDuration.
func (c *ClaimPolicy) Promise(now time.Time, session protocol.SessionID) bool {
	return c.promises.give(now, session)
}

// MarkRelinquished records that the process at the holder's address no longer
// uses the slots of a session.
func (c *ClaimPolicy) MarkRelinquished(session protocol.SessionID) {
	c.relinquished[session] = true
}

// StartLeaving stops all claims. It returns all peers, and for each slot that
// this instance holds the peer that should hold it next.
func (c *ClaimPolicy) StartLeaving() ([]protocol.InstanceID, Assignment) {
	c.selfLeaving = true
	peers := slices.DeleteFunc(slices.Clone(c.memberIDs), func(id protocol.InstanceID) bool { return id == c.self })
	c.assigned = Assign(c.domain, peers, c.held)
	var plan Assignment
	for slot, holder := range c.held {
		if holder == c.self {
			plan[slot] = c.assigned[slot]
		}
	}
	return peers, plan
}

// PeerLeaving records that a peer's session is about to close, so it should
// hold no slots, and which instances should claim the peer's slots.
func (c *ClaimPolicy) PeerLeaving(now time.Time, session protocol.SessionID, plan Assignment) {
	c.leaving[session] = true
	for slot, id := range plan {
		if id != "" {
			c.leavePlan[slot] = id
			c.leavePlanUntil[slot] = now.Add(handoverLifetime)
		}
	}
}

// applyLeavePlan replaces the assignment of slots of leaving peers by the one
// that the peers announced.
func (c *ClaimPolicy) applyLeavePlan(now time.Time) {
	for slot, id := range c.leavePlan {
		if id != "" && now.Before(c.leavePlanUntil[slot]) && slices.Contains(c.memberIDs, id) {
			c.assigned[slot] = id
		}
	}
}

// Successor returns the instance that should hold a slot next, or an empty id.
func (c *ClaimPolicy) Successor(key SlotKey) protocol.InstanceID {
	return c.assigned[key.Slot]
}

// NextActions returns the claims and releases that follow from the replayed
// state. session is this instance's session.
func (c *ClaimPolicy) NextActions(now time.Time, session protocol.SessionID, view View) []ClaimAction {
	members := view.membersIn(c.domain)
	own, ids := c.findSelf(session, members)
	if own == nil || c.selfLeaving {
		return nil
	}
	c.prune(now, view)
	c.memberIDs, c.held = ids, view.openHoldersIn(c.domain)
	c.assigned = Assign(c.domain, ids, c.held)
	c.applyLeavePlan(now)
	var actions []ClaimAction
	for slot, assigned := range c.assigned {
		key := SlotKey{Domain: c.domain, Slot: slot}
		lease, held := view.Leases[key]
		if action, ok := c.decideSlot(now, own, key, lease, held, assigned); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// findSelf returns the member with this instance's session, or nil, and the ids
// of all members that are not leaving.
func (c *ClaimPolicy) findSelf(session protocol.SessionID, members []Member) (*Member, []protocol.InstanceID) {
	var own *Member
	ids := make([]protocol.InstanceID, 0, len(members))
	for i := range members {
		if c.leaving[members[i].Session] {
			continue
		}
		ids = append(ids, members[i].Instance)
		if members[i].Session == session && session != 0 {
			own = &members[i]
		}
	}
	return own, ids
}

func (c *ClaimPolicy) decideSlot(now time.Time, own *Member, key SlotKey, lease SlotLease, held bool, assigned protocol.InstanceID) (ClaimAction, bool) {
	if !held {
		claim := ClaimAction{Key: key, Replaces: protocol.NoOffset}
		return claim, assigned == c.self
	}
	if !lease.Ended {
		// A slot moves to the instance that should hold it, so that the loss of
		// any instance costs every organisation the same. The tokens are handed
		// over.
		release := ClaimAction{Key: key, Release: true}
		return release, lease.Session == own.Session && assigned != c.self
	}
	if lease.Session == own.Session || lease.Instance == c.self && lease.Address == own.Address {
		// This process uses only the slots of its current session, and no other
		// process can run at its address.
		c.relinquished[lease.Session] = true
	}
	return c.decideExpired(now, own, key, lease, assigned)
}

// confirmInterval is the time between two questions to a holder whether it
// still uses the slots of a session. One question covers all slots of the
// session: a terminated instance does not answer, and the calls must not delay
// claims that are queued behind them.
const confirmInterval = 2 * time.Second

// preferredClaimDelay is how long only the assigned instance may claim a slot.
// That instance may not be permitted to claim, because it started too late for
// the old holder to know it. After this time, any permitted instance may claim
// the slot.
const preferredClaimDelay = 2 * time.Second

// decideExpired decides on a slot whose holder's session has expired. The
// holder may still be running, isolated from the log, and use the slot on its
// peers' promises: see extension.
func (c *ClaimPolicy) decideExpired(now time.Time, own *Member, key SlotKey, lease SlotLease, assigned protocol.InstanceID) (ClaimAction, bool) {
	if _, ok := c.expirySeenAt[lease.Session]; !ok {
		c.expirySeenAt[lease.Session] = now
	}
	claim := ClaimAction{Key: key, Replaces: lease.Fence}
	promisesExpired := c.promises.refuse(now, lease.Session)
	known := own.Opened < lease.ReadBack
	safe := c.relinquished[lease.Session] || known && promisesExpired
	withinDelay := now.Sub(c.expirySeenAt[lease.Session]) < preferredClaimDelay
	if assigned != c.self && (withinDelay || !safe) {
		return claim, false
	}
	if safe {
		return claim, true
	}
	grace := c.settings.padForDrift(c.settings.GracePeriod)
	if now.Sub(c.expirySeenAt[lease.Session]) >= grace {
		return claim, true
	}
	if now.Sub(c.confirmAskedAt[lease.Session]) < confirmInterval {
		return ClaimAction{}, false
	}
	c.confirmAskedAt[lease.Session] = now
	return ClaimAction{Key: key, ConfirmWith: lease.Instance, Address: lease.Address, Session: lease.Session}, true
}

// prune removes the records of sessions that hold no slot any more, and of
// leaving peers whose sessions have closed.
func (c *ClaimPolicy) prune(now time.Time, view View) {
	holding := make(map[protocol.SessionID]bool)
	for _, lease := range view.Leases {
		holding[lease.Session] = true
	}
	c.promises.prune(now)
	for session := range c.expirySeenAt {
		if !holding[session] {
			delete(c.expirySeenAt, session)
		}
	}
	open := make(map[protocol.SessionID]bool)
	for _, m := range view.Members {
		open[m.Session] = true
	}
	for session := range c.leaving {
		if !open[session] {
			delete(c.leaving, session)
		}
	}
	for session := range c.confirmAskedAt {
		if !holding[session] {
			delete(c.confirmAskedAt, session)
		}
	}
	for session := range c.relinquished {
		if !holding[session] {
			delete(c.relinquished, session)
		}
	}
}
