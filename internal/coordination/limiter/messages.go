package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// TakeArgs asks the holder of a slot for tokens.
type TakeArgs struct {
	Organisation protocol.OrganisationID
	Slot         SlotKey
	// Now is the number of tokens for waiting requests. They expire after the
	// exchange timeout.
	Now float64
	// Ahead is the number of tokens to prefetch.
	Ahead float64
	// Fraction allows a grant of less than a whole token: the caller collects a
	// token from several slots.
	Fraction bool
	// GiveBack is the id of a fraction that is returned, and Back its unspent
	// tokens. The caller has debited them.
	GiveBack uint64
	Back     float64
}

// TakeReply grants tokens to the caller. The holder debits them before it sends
// the reply, so a lost reply loses tokens and never doubles them.
type TakeReply struct {
	// Holder is false if the instance does not hold the slot now.
	Holder bool
	// Now and Ahead are granted tokens. Each has its own lifetime, which the
	// caller counts from the time at which it sent the request.
	Now, Ahead float64
	// Fraction is the id under which a fraction may be returned.
	Fraction uint64
	// Level is the number of tokens left in the slot.
	Level float64
	// Wait is the time until the slot has the next whole token.
	Wait time.Duration
	// Version is the configuration version that the holder has applied.
	Version protocol.Offset
}

// TakeCall is a Take call to be sent to another instance.
type TakeCall struct {
	Holder protocol.InstanceID
	Args   TakeArgs
	// Sent is the time of the decision, from which the grants' lifetimes count.
	Sent time.Time
	// slotIndex is the index of the slot in the organisation's account.
	slotIndex int
}

// isPrefetch reports whether the call only asks for tokens ahead of requests.
func (c *TakeCall) isPrefetch() bool { return c.Args.Now == 0 && c.Args.GiveBack == 0 }
