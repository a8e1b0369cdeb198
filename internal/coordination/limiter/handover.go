package limiter

import (
	"slices"
	"time"

	"merlintiller/internal/protocol"
)

// Balance is what a slot's bucket of an organisation has left, in tokens.
type Balance struct {
	Organisation protocol.OrganisationID
	Tokens       float64
}

// SlotBalances are the tokens of one slot.
type SlotBalances struct {
	Slot SlotKey
	// Fence is the sender's own fencing number, which tells a second copy.
	Fence    protocol.Offset
	Balances []Balance
}

// HandoverArgs gives the tokens of slots to the instance that will claim them.
// The sender has debited them and no longer uses the slots.
type HandoverArgs struct {
	Slots []SlotBalances
	// Leaving is the sender's session if it is about to close: its mates then
	// choose the next holders without it. Zero if it stays.
	Leaving protocol.SessionID
	// Plan says who should claim the leaver's slots. Mates that see the
	// releases at different moments would choose differently, and the tokens
	// would lie with one while another claims.
	Plan Assignment
}

// HandoverReply is empty: a lost handover costs the tokens.
type HandoverReply struct{}

// handoverLife is how long handed tokens wait for the claim of their slot.
const handoverLife = 5 * time.Second

// handover is what was received for one slot.
type handover struct {
	fence    protocol.Offset
	at       time.Time
	balances map[protocol.OrganisationID]float64
}

// handovers are the tokens that wait for the claim of their slot.
//
// A copy that arrives after its tokens were used would double them, so a fence
// is accepted once. The slot may have been held by a third instance meanwhile,
// which filled it from empty at its rate, beginning a grant's life after its
// claim; so the handed tokens shrink at that rate after that time, and the sum
// stays below the burst.
type handovers struct {
	waiting map[SlotKey]handover
	newest  map[SlotKey]protocol.Offset
}

func newHandovers() handovers {
	return handovers{waiting: map[SlotKey]handover{}, newest: map[SlotKey]protocol.Offset{}}
}

func (h *handovers) receive(now time.Time, args SlotBalances) {
	if newest, ok := h.newest[args.Slot]; ok && args.Fence <= newest {
		return
	}
	h.newest[args.Slot] = args.Fence
	balances := make(map[protocol.OrganisationID]float64, len(args.Balances))
	for _, b := range args.Balances {
		balances[b.Organisation] = b.Tokens
	}
	h.waiting[args.Slot] = handover{fence: args.Fence, at: now, balances: balances}
}

// claimed returns what waits for a slot that was just won, and forgets it.
func (h *handovers) claimed(now time.Time, key SlotKey) handover {
	got := h.waiting[key]
	delete(h.waiting, key)
	if now.Sub(got.at) > handoverLife {
		return handover{}
	}
	return got
}

// CloseSlot stops the use of a slot that is about to be released, and returns what
// is left in it. A second call returns nothing.
func (c *Core) CloseSlot(now time.Time, key SlotKey) (SlotBalances, bool) {
	t, ok := c.held[key]
	if !ok || t.givenUp {
		return SlotBalances{}, false
	}
	args := SlotBalances{Slot: key, Fence: t.fence}
	if c.Holds(now, key) {
		args.Balances = c.balances(now, key)
	}
	t.givenUp = true
	c.held[key] = t
	return args, true
}

// balances empties the slot's buckets of all organisations, also the ones that
// nobody used here yet.
func (c *Core) balances(now time.Time, key SlotKey) []Balance {
	var balances []Balance
	for id, org := range c.fleet.Organisations {
		if !hasPart(c.generations.parts(org, c.fleet.Domains), key) {
			continue
		}
		a := c.account(now, id)
		for i := range a.sources {
			if a.sources[i].part.Key != key {
				continue
			}
			if b := c.bucketOf(now, a, &a.sources[i]); b.tokens > 0 {
				balances = append(balances, Balance{Organisation: id, Tokens: b.tokens})
				b.tokens = 0
			}
		}
	}
	return balances
}

func hasPart(parts []Part, key SlotKey) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return p.Key == key })
}

// ReceiveHandover takes in the tokens of a slot that this instance will claim.
func (c *Core) ReceiveHandover(now time.Time, args SlotBalances) {
	if _, held := c.held[args.Slot]; held {
		// Late: the claim was won before, and the slot began empty.
		return
	}
	c.handovers.receive(now, args)
}

// startingTokens are the handed tokens with which a new bucket begins.
func (t tenure) startingTokens(id protocol.OrganisationID, rate, burst float64, grantLife time.Duration) float64 {
	filled := rate * max(0, t.wonAt.Sub(t.handed.at)-grantLife).Seconds()
	return min(burst, max(0, t.handed.balances[id]-filled))
}

// GivenUp are the slots that are still to be released.
func (c *Core) GivenUp() []SlotKey {
	var keys []SlotKey
	for key, t := range c.held {
		if t.givenUp {
			keys = append(keys, key)
		}
	}
	return keys
}

// HeldKeys are the slots that replay gives to this instance.
func (c *Core) HeldKeys() []SlotKey {
	keys := make([]SlotKey, 0, len(c.held))
	for key := range c.held {
		keys = append(keys, key)
	}
	return keys
}
