package limiter

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// Balance is the number of tokens left in an organisation's bucket.
type Balance struct {
	Organisation protocol.OrganisationID
	Tokens       float64
}

// SlotBalances are the tokens left in one slot.
type SlotBalances struct {
	Slot SlotKey
	// Fence is the sender's fencing number for the slot, by which the receiver
	// recognises duplicates.
	Fence    protocol.Offset
	Balances []Balance
}

// HandoverArgs transfers the tokens of slots to the instance that will claim
// them. The sender has debited the tokens and no longer uses the slots.
type HandoverArgs struct {
	Slots []SlotBalances
	// Leaving is the sender's session if it is about to close, so that its
	// peers choose the next holders without it, or 0.
	Leaving protocol.SessionID
	// Plan names the instances that should claim the leaving instance's slots.
	// Without it, peers that see the releases at different times would choose
	// differently, and the tokens could go to one instance while another one
	// claims the slot.
	Plan Assignment
}

// HandoverReply is empty. If a handover is lost, its tokens are lost.
type HandoverReply struct{}

// handoverLifetime is how long tokens that were handed over are kept until
// their slot is claimed.
const handoverLifetime = 5 * time.Second

// handover holds the tokens received for one slot.
type handover struct {
	fence      protocol.Offset
	receivedAt time.Time
	balances   map[protocol.OrganisationID]float64
}

// handovers holds the tokens of slots that are not claimed yet.
//
// A duplicate that arrives after its tokens were used would double them, so
// each fence is accepted only once. A third instance may have held the slot in
// the meantime. It filled the slot from empty at its rate, beginning one grant
// lifetime after its claim. The tokens therefore decrease at that rate from one
// grant lifetime after their arrival, so that the sum stays below the burst.
type handovers struct {
	pending     map[SlotKey]handover
	newestFence map[SlotKey]protocol.Offset
}

func newHandovers() handovers {
	return handovers{pending: map[SlotKey]handover{}, newestFence: map[SlotKey]protocol.Offset{}}
}

func (h *handovers) receive(now time.Time, args SlotBalances) {
	if newest, ok := h.newestFence[args.Slot]; ok && args.Fence <= newest {
		return
	}
	h.newestFence[args.Slot] = args.Fence
	balances := make(map[protocol.OrganisationID]float64, len(args.Balances))
	for _, b := range args.Balances {
		balances[b.Organisation] = b.Tokens
	}
	h.pending[args.Slot] = handover{fence: args.Fence, receivedAt: now, balances: balances}
}

// take removes and returns the tokens for a slot that this instance has
// claimed.
func (h *handovers) take(now time.Time, key SlotKey) handover {
	received := h.pending[key]
	delete(h.pending, key)
	if now.Sub(received.receivedAt) > handoverLifetime {
		return handover{}
	}
	return received
}

// CloseSlot stops the use of a slot that is about to be released, and returns
// the tokens left in it. A second call returns none.
func (c *Core) CloseSlot(now time.Time, key SlotKey) (SlotBalances, bool) {
	slot, ok := c.held[key]
	if !ok || slot.closed {
		return SlotBalances{}, false
	}
	args := SlotBalances{Slot: key, Fence: slot.fence}
	if c.MayUse(now, key) {
		args.Balances = c.drainBalances(now, key)
	}
	slot.closed = true
	c.held[key] = slot
	return args, true
}

// drainBalances empties the buckets of all organisations in a slot, including
// organisations that were not used here yet, whose buckets have been filling.
func (c *Core) drainBalances(now time.Time, key SlotKey) []Balance {
	var balances []Balance
	for id, org := range c.fleet.Organisations {
		if !hasQuota(c.rollout.quotas(org, c.fleet.Domains), key) {
			continue
		}
		a := c.account(now, id)
		for i := range a.slots {
			if a.slots[i].quota.Key != key {
				continue
			}
			if b := c.bucketOf(now, a, &a.slots[i]); b.tokens > 0 {
				balances = append(balances, Balance{Organisation: id, Tokens: b.tokens})
				b.tokens = 0
			}
		}
	}
	return balances
}

func hasQuota(quotas []Quota, key SlotKey) bool {
	return slices.ContainsFunc(quotas, func(q Quota) bool { return q.Key == key })
}

// ReceiveHandover stores the tokens of a slot that this instance will claim.
func (c *Core) ReceiveHandover(now time.Time, args SlotBalances) {
	if _, held := c.held[args.Slot]; held {
		// The handover arrived late: the claim was already accepted and the
		// slot started empty.
		return
	}
	c.handovers.receive(now, args)
}

// initialTokens returns the tokens of a new bucket: those handed over, less
// what a third instance may have filled in the meantime.
func (s heldSlot) initialTokens(id protocol.OrganisationID, rate, burst float64, grantLifetime time.Duration) float64 {
	filled := rate * max(0, s.acquiredAt.Sub(s.handover.receivedAt)-grantLifetime).Seconds()
	return min(burst, max(0, s.handover.balances[id]-filled))
}

// ClosedSlots returns the slots that are still to be released.
func (c *Core) ClosedSlots() []SlotKey {
	var keys []SlotKey
	for key, slot := range c.held {
		if slot.closed {
			keys = append(keys, key)
		}
	}
	return keys
}

// HeldSlots returns the slots that this instance holds in the replayed state.
func (c *Core) HeldSlots() []SlotKey {
	keys := make([]SlotKey, 0, len(c.held))
	for key := range c.held {
		keys = append(keys, key)
	}
	return keys
}
