package coordination

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
)

// Limits enforces the fleet-wide rate and burst of each organisation.
type Limits interface {
	// Admit takes tokens from an organisation's bucket. If there are too few, it
	// returns a refusal with the time to retry after instead of waiting. It blocks
	// for at most one exchange within the failure domain and never admits more
	// than the organisation's share.
	Admit(ctx context.Context, org protocol.OrganisationID, tokens float64) *protocol.Refusal
}

// Ticket is the permission of an online call to run, which holds a slot until it
// is released.
type Ticket interface {
	// Release frees the slot. It may be called more than once.
	Release()
}

// Admission decides which online calls run, wait or are rejected.
type Admission interface {
	// Enter waits for a slot for a call of an organisation to a service. It
	// returns a refusal without waiting if the queue is full or the predicted wait
	// exceeds the deadline.
	Enter(ctx context.Context, org protocol.OrganisationID, service protocol.ServiceName, deadline time.Time) (Ticket, *protocol.Refusal)
}

// Pick is the target that the router chose for a call.
type Pick struct {
	Target  protocol.TargetID
	Address string
	Domain  protocol.Domain
	// Version is the version of the target's software.
	Version string
}

// PickRequest describes the call to route.
type PickRequest struct {
	Service protocol.ServiceName
	// Prefix is the hash of the prompt prefix, 0 if there is none.
	Prefix uint64
	// Exclude holds the targets at which this call has already failed.
	Exclude []protocol.TargetID
	// Batch reports whether the call is a batch item.
	Batch bool
	// Resumes reports whether the call goes on with a stream that began at a target of
	// Version. It may go on only at targets of that version.
	Resumes bool
	Version string
}

// CallResult reports the result of a call to the router.
type CallResult struct {
	// Failed reports that the target did not return a complete answer.
	Failed bool
	// FirstByte is the time to the first byte of the answer, 0 if none arrived.
	FirstByte time.Duration
	// Leaving reports that the target rejected the call because it is leaving.
	Leaving bool
	// Abandoned reports that this instance ended the call because the caller
	// disconnected or the slot was revoked. Such a call says nothing about the
	// health of the target.
	Abandoned bool
}

// Router chooses targets.
type Router interface {
	// Pick chooses a target and counts the call as in flight until done is called.
	// ok is false if no target is available.
	Pick(req PickRequest) (pick Pick, done func(CallResult), ok bool)
}

// BatchSlot is a slot for a batch item at a target that also serves online traffic.
type BatchSlot interface {
	// Pick returns the target of the slot.
	Pick() Pick
	// Revoked returns a channel that is closed when online traffic needs the slot.
	// The item must then be cancelled at the target and its partial output kept,
	// so that it can be resumed.
	Revoked() <-chan struct{}
	// Release frees the slot. It may be called more than once.
	Release(CallResult)
}

// BatchSlots assigns slots to batch items.
type BatchSlots interface {
	// Acquire waits for a slot at a target of the service until ctx is done.
	Acquire(ctx context.Context, service protocol.ServiceName) (BatchSlot, error)
	// Capacity returns how many items of the service this instance can run now,
	// including those that already have a slot. It is 0 at an instance that sends
	// no batch items to targets.
	Capacity(service protocol.ServiceName) int
}
