package coordination

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
)

// Limits holds every organisation to its rate and burst over the whole fleet.
type Limits interface {
	// Admit takes tokens of an organisation, or says at once when to come
	// back. It never blocks for longer than one exchange inside the failure
	// domain and never admits more than the organisation's share.
	Admit(ctx context.Context, org protocol.OrganisationID, tokens float64) *protocol.Refusal
}

// Ticket is a place that admission gave to an online call.
type Ticket interface {
	// Release gives the place back. It may be called more than once.
	Release()
}

// Admission decides which online calls wait, run or are refused.
type Admission interface {
	// Enter waits for a place for a call of an organisation to a service. It
	// refuses at once when the queue is full or the predicted wait passes the
	// deadline.
	Enter(ctx context.Context, org protocol.OrganisationID, service protocol.ServiceName, deadline time.Time) (Ticket, *protocol.Refusal)
}

// Pick is a routing decision.
type Pick struct {
	Target  protocol.TargetID
	Address string
	Domain  protocol.Domain
}

// PickRequest says what is to be routed.
type PickRequest struct {
	Service protocol.ServiceName
	// Prefix is the hash of the prompt prefix, 0 if there is none.
	Prefix uint64
	// Exclude holds targets that failed this call already.
	Exclude []protocol.TargetID
	// Batch says that the call is a batch item.
	Batch bool
}

// CallResult tells the router how a call went.
type CallResult struct {
	// Failed says that the target did not give a whole answer.
	Failed bool
	// FirstByte is the time to the first byte, 0 if none came.
	FirstByte time.Duration
	// Leaving says that the target refused because it is leaving.
	Leaving bool
	// Abandoned says that the call ended on this side, because its caller
	// left or it was revoked. It speaks neither for nor against the target.
	Abandoned bool
}

// Router chooses targets.
type Router interface {
	// Pick chooses a target and counts the call as in flight until done is
	// called. ok is false if no target may be used.
	Pick(req PickRequest) (pick Pick, done func(CallResult), ok bool)
}

// BatchSlot is a place at a target beside the online traffic.
type BatchSlot interface {
	Pick() Pick
	// Revoked is closed when online traffic needs the place: the item must be
	// cancelled at the target and its partial output kept for a resume.
	Revoked() <-chan struct{}
	// Release gives the place back. It may be called more than once.
	Release(CallResult)
}

// BatchSlots hands out places for batch items.
type BatchSlots interface {
	// Acquire waits for a place at a target of the service until ctx ends.
	Acquire(ctx context.Context, service protocol.ServiceName) (BatchSlot, error)
	// Capacity is how many items of the service fit at this instance now, those
	// already placed included. It is 0 at an instance that feeds no target.
	Capacity(service protocol.ServiceName) int
}
