package orders

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/lease"
)

// View is what an instance knows when it decides.
type View struct {
	// Session is the instance's own, and MayHold whether exclusive work under
	// it may go on now.
	Session protocol.SessionID
	MayHold bool
	// Lease is the last one of the duty, Lease.Fence NoOffset if none.
	Lease lease.Lease
	// LogUp says that the log is read to its end, so that a claim makes sense.
	LogUp bool
	// Rank is the place of the instance among the candidates, 0 first.
	Rank int
	// Service and Wanted are the configuration; Wanted has no fencing number.
	Service protocol.Service
	Wanted  external.Order
	// Targets are the service's targets in the domain.
	Targets []external.ListedTarget
}

// Action is what a step asks for. Exactly one of its parts is set.
type Action struct {
	// Claim is a record to submit.
	Claim *protocol.LeaseClaim
	// Give is an order to send to Target.
	Give *external.Order
	// Look asks for what Target runs.
	Look   bool
	Target external.ListedTarget
}

// Duty decides for one service in one domain at one instance. It has no clock
// and does no I/O: what it asks for is told to it by Claimed, Looked and Given.
type Duty struct {
	policy   Policy
	resource protocol.Resource
	targets  map[protocol.TargetID]*known

	// free is since when the duty was seen without holder.
	free     time.Time
	claiming bool
	// fence is the own claim that the targets' state belongs to, since when
	// it was first seen to be in force.
	fence protocol.Offset
	since time.Time
	// replaced is the fence that the own claim took over from.
	replaced protocol.Offset
	// deposed says that a target refused fence: there is a newer holder.
	deposed bool
	// service is the configuration as of the last step.
	service protocol.Service
}

// known is what is known of one target.
type known struct {
	state external.OrderState
	// read says that state was read under the own fence and may be acted on,
	// seen that it was read at all.
	read, seen bool
	// asked is an exchange in progress; next is when the following may begin.
	asked bool
	next  time.Time
	// changing is since when the target works on a change of ours.
	changing time.Time
	// working is since when the target says that it works on some order.
	working time.Time
}

// NewDuty returns a duty that nobody is known to hold.
func NewDuty(policy Policy, resource protocol.Resource) *Duty {
	return &Duty{
		policy:   policy.withDefaults(),
		resource: resource,
		targets:  map[protocol.TargetID]*known{},
		fence:    protocol.NoOffset,
	}
}

// Step decides what to do now.
func (d *Duty) Step(now time.Time, view View) []Action {
	if !view.MayHold {
		d.free = time.Time{}
		return nil
	}
	held := view.Lease.Fence != protocol.NoOffset && view.Lease.EndedAt == protocol.NoOffset
	switch {
	case !held:
		return d.claim(now, view)
	case view.Lease.Session != view.Session:
		d.free = time.Time{}
		return nil
	}
	d.hold(now, view.Lease.Fence)
	d.service = view.Service
	if d.deposed || now.Before(d.since.Add(d.wait())) {
		return nil
	}
	return d.reconcile(now, view)
}

// claim takes a free duty, later the further down this instance ranks.
func (d *Duty) claim(now time.Time, view View) []Action {
	if d.free.IsZero() {
		d.free = now
	}
	due := d.free.Add(time.Duration(view.Rank) * d.policy.ClaimStep)
	if d.claiming || !view.LogUp || len(view.Targets) == 0 || now.Before(due) {
		return nil
	}
	d.claiming = true
	d.replaced = view.Lease.Fence
	return []Action{{Claim: &protocol.LeaseClaim{Resource: d.resource, Replaces: view.Lease.Fence}}}
}

// Claimed ends a claim, whatever became of it: the view shows who holds.
func (d *Duty) Claimed() {
	d.claiming = false
	d.free = time.Time{}
}

// hold starts anew under a new fence.
func (d *Duty) hold(now time.Time, fence protocol.Offset) {
	if d.fence == fence {
		return
	}
	d.fence = fence
	d.since = now
	d.deposed = false
	d.targets = map[protocol.TargetID]*known{}
}

// wait is how long a new holder gives no order.
//
// What goes wrong without it at a target that does not check: the former
// holder's last order is still being worked on, the new one overtakes it, and
// the target ends up with the older version. One notices a target that runs
// what the configuration no longer says.
func (d *Duty) wait() time.Duration {
	if d.service.ChecksFencing || d.replaced == protocol.NoOffset {
		return 0
	}
	return d.policy.HoldTime + d.longest()
}

func (d *Duty) longest() time.Duration {
	if d.service.LongestOrder > 0 {
		return d.service.LongestOrder
	}
	return d.policy.LongestOrder
}

// reconcile looks at each target in turn and orders those that do not run what
// is wanted.
func (d *Duty) reconcile(now time.Time, view View) []Action {
	d.forget(view.Targets)
	wanted := view.Wanted
	wanted.Fence = d.fence
	room := d.room(now, view)
	var out []Action
	for _, listed := range view.Targets {
		if listed.Leaving {
			continue
		}
		k := d.known(listed.ID)
		if k.asked || (now.Before(k.next) && !d.overdue(k, wanted)) {
			continue
		}
		action, changes := d.decide(k, wanted, listed)
		if changes && room <= 0 {
			continue
		}
		if changes {
			room--
			k.changing = now
		}
		k.asked = true
		out = append(out, action)
	}
	return out
}

// overdue reports that a target which was seen to run what was wanted runs
// something else than what is wanted now: a change need not wait for the next
// look.
func (d *Duty) overdue(k *known, wanted external.Order) bool {
	return k.read && !sameContent(k.state.Order, wanted)
}

// decide looks first; it orders if what it saw under its own fence is not what
// is wanted. changes says that the target will have to load something.
func (d *Duty) decide(k *known, wanted external.Order, listed external.ListedTarget) (action Action, changes bool) {
	look := Action{Look: true, Target: listed}
	if !k.read {
		return look, false
	}
	same := sameContent(k.state.Order, wanted)
	if same && d.fenced(k) {
		k.read = false
		return look, false
	}
	return Action{Give: &wanted, Target: listed}, !same
}

// fenced reports whether a target has seen the own fencing number, so that it
// refuses all former holders. Targets that don't check may not even keep it.
func (d *Duty) fenced(k *known) bool {
	return !d.service.ChecksFencing || k.state.Fence == d.fence
}

func sameContent(a, b external.Order) bool {
	a.Fence, b.Fence = 0, 0
	return a == b
}

// room is how many more targets may begin to change now.
func (d *Duty) room(now time.Time, view View) int {
	most := max(1, int(d.policy.ChangeShare*float64(len(view.Targets))))
	for _, k := range d.targets {
		if k.changing.IsZero() {
			continue
		}
		// A target that never says it is done must not stop the roll-out.
		if now.Sub(k.changing) > d.longest() {
			k.changing = time.Time{}
			continue
		}
		most--
	}
	return most
}

func (d *Duty) known(id protocol.TargetID) *known {
	k, ok := d.targets[id]
	if !ok {
		k = &known{}
		d.targets[id] = k
	}
	return k
}

func (d *Duty) forget(targets []external.ListedTarget) {
	for id, k := range d.targets {
		gone := !slices.ContainsFunc(targets, func(l external.ListedTarget) bool { return l.ID == id })
		if gone && !k.asked {
			delete(d.targets, id)
		}
	}
}

// Looked tells what a target said it runs, to a look made under a fence.
func (d *Duty) Looked(now time.Time, id protocol.TargetID, fence protocol.Offset, state external.OrderState, err error) {
	k, ok := d.targets[id]
	if !ok || fence != d.fence {
		return
	}
	k.asked = false
	if err != nil {
		k.read = false
		k.next = now.Add(d.policy.Retry)
		return
	}
	k.state = state
	k.seen = true
	k.read = d.ended(now, k)
	if !k.read {
		k.next = now.Add(d.policy.Retry)
		return
	}
	k.changing = time.Time{}
	if d.fenced(k) {
		k.next = now.Add(d.policy.Check)
	}
}

// ended reports whether a target is done with its order. One that says it is
// busy for longer than any order takes is not waited for.
func (d *Duty) ended(now time.Time, k *known) bool {
	if !k.state.Busy {
		k.working = time.Time{}
		return true
	}
	if k.working.IsZero() {
		k.working = now
	}
	return now.Sub(k.working) > d.longest()
}

// Given tells what became of an order. Whatever it was, the target is looked
// at next: a lost answer says nothing of the effect.
func (d *Duty) Given(now time.Time, id protocol.TargetID, fence protocol.Offset, stale bool, err error) {
	if fence != d.fence {
		return
	}
	if stale {
		d.deposed = true
	}
	k, ok := d.targets[id]
	if !ok {
		return
	}
	k.asked = false
	k.read = false
	if err != nil {
		k.changing = time.Time{}
		k.next = now.Add(d.policy.Retry)
	}
}

// Settled reports whether certainly no order of this or a former holder is on
// its way or being worked on, so that the duty can be released and the next
// holder need not wait.
func (d *Duty) Settled(now time.Time) bool {
	if d.deposed || d.fence == protocol.NoOffset || now.Before(d.since.Add(d.wait())) {
		return false
	}
	for _, k := range d.targets {
		if !k.seen || k.asked || !k.changing.IsZero() || !k.working.IsZero() {
			return false
		}
	}
	return len(d.targets) > 0
}

// TargetState is one target as its duty sees it, for operators.
type TargetState struct {
	Target protocol.TargetID `json:"target"`
	// Fence is that of the duty.
	Fence protocol.Offset     `json:"fence"`
	Runs  external.OrderState `json:"runs"`
	// Changes says that an order to load something is being worked on.
	Changes bool `json:"changes,omitempty"`
}

// Targets lists what the duty knows, by target id.
func (d *Duty) Targets() []TargetState {
	out := make([]TargetState, 0, len(d.targets))
	for id, k := range d.targets {
		out = append(out, TargetState{Target: id, Fence: d.fence, Runs: k.state, Changes: !k.changing.IsZero()})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
