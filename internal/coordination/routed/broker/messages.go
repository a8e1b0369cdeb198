package broker

import (
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// Hold is a request that an instance has at a target, under a number of its own.
type Hold struct {
	Number uint64
	Target string
	Batch  bool
	// Due is when a batch item is due, in Unix milliseconds.
	Due int64
	// Lasts is how long a target is busy with it at most. 0: as usual.
	Lasts time.Duration
	// Run is the id under which the target runs it. Empty: not known yet.
	Run string
}

// HoldReport is what an instance says that it holds at the targets of one domain.
type HoldReport struct {
	Instance string
	// Start tells the lives of the instance apart.
	Start int64
	// Whole says that Held is all that the instance holds. Otherwise only
	// Released counts.
	Whole    bool
	Held     []Hold
	Released []uint64
}

// Told is another name of HoldReport. Ask embeds it, and gob sends the field under this name.
type Told = HoldReport

// PlaceRequest asks for slots of targets of one domain.
type PlaceRequest struct {
	Told
	Domain string
	// Number is given to the hold.
	Number uint64
	Want   placement.Requirements
	// OnTimeIn is how long it takes until an online request is late, or until a
	// batch item must have begun to be done in time. Wait is how long it may be
	// kept waiting.
	OnTimeIn time.Duration
	Wait     time.Duration
	// Age is how long an online request has been waiting already.
	Age time.Duration
	// Due is when a batch item is due, in Unix milliseconds, and Lasts how long a
	// target is busy with it at most.
	Due   int64
	Lasts time.Duration
}

// Grant is a slot that was given.
type Grant struct {
	Number uint64
	Target roster.Target
	// Busy and Slots are what the target was chosen by, Unsure the part of Busy that
	// no instance tells of now.
	Busy, Unsure, Slots int
}

// Reply is the answer to an Ask.
type Reply struct {
	Granted bool
	Grant   Grant
	// Free are the slots that are left in the domain.
	Free int
}

// Names of the net/rpc methods.
const (
	ReceiverName = "Broker"
	methodPlace  = ReceiverName + ".Place"
	methodTell   = ReceiverName + ".Tell"
	methodLoaded = ReceiverName + ".Loaded"
	methodFailed = ReceiverName + ".Failed"
)
