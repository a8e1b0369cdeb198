package orders

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/lease"
)

// Inputs is the state on which a Controller bases its decisions.
type Inputs struct {
	// Session is the instance's own session. MayHold reports whether the
	// instance may still do exclusive work under it.
	Session protocol.SessionID
	MayHold bool
	// Lease is the latest lease for the orders of the service. Lease.Fence is
	// NoOffset if there was none.
	Lease lease.Lease
	// LogCurrent reports whether the log has been read to its end. Without
	// that, the instance does not claim the lease.
	LogCurrent bool
	// Rank is the instance's rank among the candidates for the lease; 0 is the
	// first.
	Rank int
	// Service and Desired are the configuration. Desired has no fencing number.
	Service protocol.Service
	Desired external.Order
	// Targets are the service's targets in the domain.
	Targets []external.ListedTarget
}

// Action is something that a Controller asks its caller to do. Exactly one of
// Claim, Order and ReadState is set.
type Action struct {
	// Claim is a claim of the lease to submit to the log.
	Claim *protocol.LeaseClaim
	// Order is an order to send to Target.
	Order *external.Order
	// ReadState asks for the state of Target.
	ReadState bool
	// Target is the target of Order or ReadState.
	Target external.ListedTarget
}

// Controller decides which orders one instance sends for one service in one
// domain. It has no clock and does no I/O. The caller reports the results of
// its actions by ClaimFinished, HandleState and HandleOrderResult.
type Controller struct {
	policy   Policy
	resource protocol.Resource
	targets  map[protocol.TargetID]*target

	// vacantSince is the time since which the lease has had no holder, or zero.
	vacantSince time.Time
	claiming    bool
	// fence is the own claim under which targets were read. heldSince is when
	// the claim was first seen to hold the lease.
	fence     protocol.Offset
	heldSince time.Time
	// replacedFence is the fence of the lease that the own claim replaced, or
	// NoOffset.
	replacedFence protocol.Offset
	// superseded reports whether a target rejected fence, so that there must be
	// a newer holder.
	superseded bool
	// service is the configuration of the last Step.
	service protocol.Service
}

// target is the known state of one target.
type target struct {
	state external.OrderState
	// stateValid reports whether state was read under the own fence and orders
	// may be based on it. everRead reports whether state was ever read under
	// the own fence.
	stateValid, everRead bool
	// inFlight reports whether an order or read is in progress. nextExchange is
	// the earliest time for the next one.
	inFlight     bool
	nextExchange time.Time
	// changingSince is when an order of this instance began to change the
	// target, or zero.
	changingSince time.Time
	// busySince is when the target was first read as busy with an order, or
	// zero.
	busySince time.Time
}

// NewController returns a Controller that has not yet seen a lease.
func NewController(policy Policy, resource protocol.Resource) *Controller {
	return &Controller{
		policy:   policy.withDefaults(),
		resource: resource,
		targets:  map[protocol.TargetID]*target{},
		fence:    protocol.NoOffset,
	}
}

// Step returns the actions to perform now.
func (c *Controller) Step(now time.Time, in Inputs) []Action {
	if !in.MayHold {
		c.vacantSince = time.Time{}
		return nil
	}
	leaseHeld := in.Lease.Fence != protocol.NoOffset && in.Lease.EndedAt == protocol.NoOffset
	switch {
	case !leaseHeld:
		return c.claim(now, in)
	case in.Lease.Session != in.Session:
		c.vacantSince = time.Time{}
		return nil
	}
	c.adoptFence(now, in.Lease.Fence)
	c.service = in.Service
	if c.superseded || now.Before(c.heldSince.Add(c.takeoverWait())) {
		return nil
	}
	return c.reconcile(now, in)
}

// claim claims a free lease. The delay grows with the rank of this instance.
func (c *Controller) claim(now time.Time, in Inputs) []Action {
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	claimAt := c.vacantSince.Add(time.Duration(in.Rank) * c.policy.ClaimDelay)
	if c.claiming || !in.LogCurrent || len(in.Targets) == 0 || now.Before(claimAt) {
		return nil
	}
	c.claiming = true
	c.replacedFence = in.Lease.Fence
	return []Action{{Claim: &protocol.LeaseClaim{Resource: c.resource, Replaces: in.Lease.Fence}}}
}

// ClaimFinished ends a claim, whatever its result. The next Inputs show which
// instance holds the lease.
func (c *Controller) ClaimFinished() {
	c.claiming = false
	c.vacantSince = time.Time{}
}

// adoptFence discards the state of all targets when the fence is new.
func (c *Controller) adoptFence(now time.Time, fence protocol.Offset) {
	if c.fence == fence {
		return
	}
	c.fence = fence
	c.heldSince = now
	c.superseded = false
	c.targets = map[protocol.TargetID]*target{}
}

// takeoverWait is how long a new holder sends no orders.
//
// Without it, at a target that does not check fencing numbers, an order of the
// new holder could finish before the last order of the former holder, which is
// still in progress. The target would end with the older version and run
// something that the configuration no longer specifies.
func (c *Controller) takeoverWait() time.Duration {
	if c.service.ChecksFencing || c.replacedFence == protocol.NoOffset {
		return 0
	}
	return c.policy.HoldTime + c.maxOrderTime()
}

// maxOrderTime is the longest time that a target of the service takes to carry
// out an order.
func (c *Controller) maxOrderTime() time.Duration {
	if c.service.LongestOrder > 0 {
		return c.service.LongestOrder
	}
	return c.policy.MaxOrderTime
}

// reconcile reads the state of each target and sends an order to those that do
// not run the desired order.
func (c *Controller) reconcile(now time.Time, in Inputs) []Action {
	c.dropUnlisted(in.Targets)
	desired := in.Desired
	desired.Fence = c.fence
	changesLeft := c.changesLeft(now, in)
	var out []Action
	for _, listed := range in.Targets {
		if listed.Leaving {
			continue
		}
		t := c.target(listed.ID)
		if t.inFlight || (now.Before(t.nextExchange) && !c.desiredChanged(t, desired)) {
			continue
		}
		action, changes := c.decide(t, desired, listed)
		if changes && changesLeft <= 0 {
			continue
		}
		if changes {
			changesLeft--
			t.changingSince = now
		}
		t.inFlight = true
		out = append(out, action)
	}
	return out
}

// desiredChanged reports whether the last valid state of a target differs from
// the desired order. A change of the configuration then need not wait for the
// next read.
func (c *Controller) desiredChanged(t *target, desired external.Order) bool {
	return t.stateValid && !sameContent(t.state.Order, desired)
}

// decide chooses the next action for a target. It reads the state of the target
// first, and sends an order if the state that was read under the own fence is
// not the desired one. changes reports that the target will have to load
// something.
func (c *Controller) decide(t *target, desired external.Order, listed external.ListedTarget) (action Action, changes bool) {
	readState := Action{ReadState: true, Target: listed}
	if !t.stateValid {
		return readState, false
	}
	matches := sameContent(t.state.Order, desired)
	if matches && c.hasOwnFence(t) {
		t.stateValid = false
		return readState, false
	}
	return Action{Order: &desired, Target: listed}, !matches
}

// hasOwnFence reports whether the target has received the own fencing number, so
// that it rejects the orders of all former holders. It is always true for a
// service whose targets do not check: they may not even store the number.
func (c *Controller) hasOwnFence(t *target) bool {
	return !c.service.ChecksFencing || t.state.Fence == c.fence
}

// sameContent reports whether two orders are equal apart from the fencing number.
func sameContent(a, b external.Order) bool {
	a.Fence, b.Fence = 0, 0
	return a == b
}

// changesLeft returns how many more targets may begin to load a change now.
func (c *Controller) changesLeft(now time.Time, in Inputs) int {
	left := max(1, int(c.policy.MaxChangeShare*float64(len(in.Targets))))
	for _, t := range c.targets {
		if t.changingSince.IsZero() {
			continue
		}
		// A target that never reports completion must not block the roll-out.
		if now.Sub(t.changingSince) > c.maxOrderTime() {
			t.changingSince = time.Time{}
			continue
		}
		left--
	}
	return left
}

func (c *Controller) target(id protocol.TargetID) *target {
	t, ok := c.targets[id]
	if !ok {
		t = &target{}
		c.targets[id] = t
	}
	return t
}

// dropUnlisted drops the state of targets that are no longer listed and have no
// exchange in progress.
func (c *Controller) dropUnlisted(targets []external.ListedTarget) {
	for id, t := range c.targets {
		unlisted := !slices.ContainsFunc(targets, func(l external.ListedTarget) bool { return l.ID == id })
		if unlisted && !t.inFlight {
			delete(c.targets, id)
		}
	}
}

// HandleState takes the result of reading a target's state. fence is the fence
// at the time of the read.
func (c *Controller) HandleState(now time.Time, id protocol.TargetID, fence protocol.Offset, state external.OrderState, err error) {
	t, ok := c.targets[id]
	if !ok || fence != c.fence {
		return
	}
	t.inFlight = false
	if err != nil {
		t.stateValid = false
		t.nextExchange = now.Add(c.policy.RetryInterval)
		return
	}
	t.state = state
	t.everRead = true
	t.stateValid = c.orderFinished(now, t)
	if !t.stateValid {
		t.nextExchange = now.Add(c.policy.RetryInterval)
		return
	}
	t.changingSince = time.Time{}
	if c.hasOwnFence(t) {
		t.nextExchange = now.Add(c.policy.CheckInterval)
	}
}

// orderFinished reports whether a target has finished its order. A target that
// reports itself busy for longer than any order takes counts as finished.
func (c *Controller) orderFinished(now time.Time, t *target) bool {
	if !t.state.Busy {
		t.busySince = time.Time{}
		return true
	}
	if t.busySince.IsZero() {
		t.busySince = now
	}
	return now.Sub(t.busySince) > c.maxOrderTime()
}

// HandleOrderResult takes the result of sending an order. stale reports that the
// target rejected the fencing number. The target is read next in any case,
// because an error does not show whether the order took effect.
func (c *Controller) HandleOrderResult(now time.Time, id protocol.TargetID, fence protocol.Offset, stale bool, err error) {
	if fence != c.fence {
		return
	}
	if stale {
		c.superseded = true
	}
	t, ok := c.targets[id]
	if !ok {
		return
	}
	t.inFlight = false
	t.stateValid = false
	if err != nil {
		t.changingSince = time.Time{}
		t.nextExchange = now.Add(c.policy.RetryInterval)
	}
}

// Idle reports whether certainly no order of this or a former holder is in
// flight or in progress, so that the lease can be released and the next holder
// need not wait.
func (c *Controller) Idle(now time.Time) bool {
	if c.superseded || c.fence == protocol.NoOffset || now.Before(c.heldSince.Add(c.takeoverWait())) {
		return false
	}
	for _, t := range c.targets {
		if !t.everRead || t.inFlight || !t.changingSince.IsZero() || !t.busySince.IsZero() {
			return false
		}
	}
	return len(c.targets) > 0
}

// TargetState is the state of one target as known to its Controller, for
// operators.
type TargetState struct {
	Target protocol.TargetID `json:"target"`
	// Fence is the fencing number of the lease.
	Fence protocol.Offset `json:"fence"`
	// Runs is the state that was last read from the target.
	Runs external.OrderState `json:"runs"`
	// Changing reports whether the target is loading a change.
	Changing bool `json:"changes,omitempty"`
}

// Targets lists the state of all targets, sorted by target ID.
func (c *Controller) Targets() []TargetState {
	out := make([]TargetState, 0, len(c.targets))
	for id, t := range c.targets {
		out = append(out, TargetState{Target: id, Fence: c.fence, Runs: t.state, Changing: !t.changingSince.IsZero()})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
