package broker

import (
	"time"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

// net/rpc encodes the types of this file with gob, which sends fields under their Go names.

// Hold is a slot that an instance occupies at a target. The instance chooses the number.
type Hold struct {
	Number uint64
	Target string
	Batch  bool
	// Due is the deadline of a batch item, in Unix milliseconds.
	Due int64
	// Lasts is the longest time that the target is busy with the request.
	// 0: defaultRuntime.
	Lasts time.Duration
	// Run is the ID under which the target runs the request. Empty: not known yet.
	Run string
	// Needs is how long a batch item still needs until it ends, as of the message. 0: not
	// known; then two thirds of Lasts are assumed. Laxity is how long it could wait and still meet its deadline, and Unstored how
	// long the output takes to produce again that is not stored yet. Both are set only if
	// Needs is.
	Needs, Laxity, Unstored time.Duration
}

// HoldReport is an instance's report of its holds at the targets of one failure domain.
type HoldReport struct {
	Instance string
	// Start distinguishes the incarnations of the instance.
	Start int64
	// Whole is set if Held lists all holds of the instance in the domain. Otherwise only
	// Released is used.
	Whole bool
	Held  []Hold
	// Replaced are the domain's targets whose addresses other targets use, as far as the
	// instance has met them. It is set only if Whole is.
	Replaced []placement.Incarnation
	// Paces are what the instance has recently observed of the paces of the domain's targets, at
	// most pace.MaxObservations. It is set only if Whole is.
	Paces []pace.Observation
	// Released are the numbers of holds that the instance has given back.
	Released []uint64
}

// Told is another name of HoldReport. PlaceRequest embeds it under this name, since gob sends
// the embedded field as Told.
type Told = HoldReport

// PlaceRequest requests a slot at a target of one failure domain.
type PlaceRequest struct {
	Told
	Domain string
	// Number becomes the number of the hold.
	Number uint64
	// Want are the requirements that the target must meet.
	Want placement.Requirements
	// OnTimeIn is the time left until an online request must be sent, or a batch item must
	// start, to be on time. Wait is the longest time that the request may wait for a slot.
	OnTimeIn time.Duration
	Wait     time.Duration
	// Age is how long an online request has been waiting already.
	Age time.Duration
	// Due is the deadline of a batch item, in Unix milliseconds. Lasts is the longest time
	// that the target is busy with the item.
	Due   int64
	Lasts time.Duration
	// Organisation and Weight decide on the share of scarce slots of an online request. 0: the
	// requesting instance does not use fair queueing.
	Organisation string
	Weight       float64
	// RejectIn is the time for which the request may be rejected, and WaitIn the time until it
	// stops waiting at all brokers. 0: it must not be rejected, the time is not known.
	RejectIn, WaitIn time.Duration
	// FirstWait is set if the request has not waited at a broker that answered, so that it counts
	// as an arrival whatever its age is. Not set: it counts while its age is below onlineWait.
	FirstWait bool
	// Needs is how long a batch item still needs once it runs, and Unstored how long the
	// output takes to produce again that is not stored yet. 0: not known, the item starts and
	// yields as at a broker without a forecast.
	Needs, Unstored time.Duration
}

// Grant is a granted slot.
type Grant struct {
	Number uint64
	Target roster.Target
	// Busy is the number of occupied slots and Slots the number of all slots of the target
	// on which the choice was based. Unsure is the part of Busy that no instance currently
	// reports.
	Busy, Unsure, Slots int
	// Pace is the pace of the target in percent on which the choice was based, PaceAge its age
	// and PaceSource where it came from. 0: the broker ranks targets without their paces.
	Pace       int
	PaceAge    time.Duration
	PaceSource pace.Source
	// MovedFrom is the target that would have been chosen without the paces, and MovedFromPace
	// its pace in percent. Empty: the same one.
	MovedFrom     string
	MovedFromPace int
	// ListMark and ListAge describe the broker's list of targets, see roster.ListState. They are
	// 0 if the broker is of a release that does not send them.
	ListMark int64
	ListAge  time.Duration
}

// PlaceReply is the reply to a PlaceRequest.
type PlaceReply struct {
	Granted bool
	Grant   Grant
	// Free is the number of free slots that are left in the domain.
	Free int
	// Queue is what the broker knew when the request waited. It is zero if the request did not
	// wait or the broker does not use fair queueing.
	Queue placement.QueueState
	// Held says why a batch item got no slot although one was free.
	Held ForecastHold
}

// Names of the net/rpc methods.
const (
	ReceiverName = "Broker"
	methodPlace  = ReceiverName + ".Place"
	methodTell   = ReceiverName + ".Tell"
	methodLoaded = ReceiverName + ".Loaded"
	methodFailed = ReceiverName + ".Failed"

	methodPaced    = ReceiverName + ".Paced"
	methodReplaced = ReceiverName + ".Replaced"
)
