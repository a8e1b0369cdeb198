package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// TakeArgs asks the holder of a slot for tokens.
type TakeArgs struct {
	Organisation protocol.OrganisationID
	Slot         SlotKey
	// Now is the number of tokens for requests that wait, to be used within
	// the exchange timeout or never.
	Now float64
	// Ahead is the number of tokens for the next moments.
	Ahead float64
	// Fraction says that less than a whole token helps: the asker puts one
	// together from several slots.
	Fraction bool
	// GiveBack is the id of a fraction that was not enough, of which Back
	// tokens were not used. The asker has debited them.
	GiveBack uint64
	Back     float64
}

// TakeReply moves tokens to the asker. The holder has debited them before the
// reply is sent, so a lost reply loses tokens and never doubles them.
type TakeReply struct {
	// Holder is false if the asked instance does not hold the slot now.
	Holder bool
	// Now and Ahead are tokens, each with its own life, counted by the asker
	// from the moment it sent the request.
	Now, Ahead float64
	// Fraction is the id under which a fraction may be given back.
	Fraction uint64
	// Level is what is left in the slot, in tokens.
	Level float64
	// Wait is the time until the slot has the next whole token.
	Wait time.Duration
	// Version is the configuration that the holder's part follows.
	Version protocol.Offset
}

// TakeCall is a decision to ask another instance for tokens.
type TakeCall struct {
	Holder protocol.InstanceID
	Args   TakeArgs
	// Sent is the time of the decision, from which the tokens' lives count.
	Sent time.Time
	// part is the index of the slot among the organisation's parts.
	part int
}
