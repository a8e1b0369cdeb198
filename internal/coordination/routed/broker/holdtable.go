package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// grantTransit is the age up to which a hold is kept although a full report of its
	// instance does not list it: the grant may still be in flight to the instance.
	grantTransit = 300 * time.Millisecond
	// instanceTimeout is the shortest time for which the holds of an instance that sends no
	// reports are kept. Instances send a report every reportInterval.
	instanceTimeout = 2 * time.Second
	// maxSendDelay is the longest time from the grant of a slot until the request arrives at
	// the target.
	maxSendDelay = 50 * time.Millisecond
	// defaultRuntime is the assumed time that a target is busy with an online request.
	// Longer requests show up in the target's load reports.
	defaultRuntime = 2 * time.Second
)

// HoldTable records which instance holds which slot. It is pure and not safe for concurrent
// use.
type HoldTable struct {
	core      *placement.Core
	holds     map[holdKey]*trackedHold
	instances map[string]incarnation
	targets   map[string]roster.Target
	// pinned is the number of pinned holds.
	pinned int
	// yieldsByCost makes the item yield that loses least, and not the one with the latest
	// deadline. yieldWait is how long an item that yields is expected to wait for a slot, 0 if
	// it is not known: then the deadline decides.
	yieldsByCost bool
	yieldWait    func(service string) time.Duration
}

type holdKey struct {
	instance string
	number   uint64
}

type trackedHold struct {
	Hold
	instance string
	choice   placement.Choice
	since    time.Time
	// asOf is the time to which Needs, Laxity and Unstored refer.
	asOf time.Time
	// yielding is set once the batch item was asked to yield its slot. pinned is set if the
	// item cannot be asked, because its instance is not reachable.
	yielding, pinned bool
	// pinnedSince is when the hold was pinned. endRequested is set once its target was
	// asked to end the run.
	pinnedSince  time.Time
	endRequested bool
}

// latestEnd is when a target should have finished a request at the latest.
func (h *trackedHold) latestEnd() time.Time {
	runtime := h.Lasts
	if runtime <= 0 {
		runtime = defaultRuntime
	}
	return h.since.Add(runtime)
}

// incarnation is one process lifetime of an instance. Starts are read from wall clocks, which
// can jump, so a later incarnation may have the smaller start.
type incarnation struct {
	start int64
	// previous is the start of the previous incarnation, whose last messages may arrive
	// late.
	previous int64
	// lastReport is when the last report arrived.
	lastReport time.Time
}

// NewHoldTable returns a table without targets.
func NewHoldTable(core *placement.Core) *HoldTable {
	return &HoldTable{core: core, holds: map[holdKey]*trackedHold{}, instances: map[string]incarnation{}, targets: map[string]roster.Target{}}
}

// SetTargets replaces the targets of the domain.
func (t *HoldTable) SetTargets(list []roster.Target) {
	t.core.SetTargets(list)
	clear(t.targets)
	for _, target := range list {
		t.targets[target.ID] = target
	}
}

// ApplyReport applies an instance's report of its holds.
func (t *HoldTable) ApplyReport(now time.Time, report HoldReport) {
	current, known := t.instances[report.Instance]
	if known && current.start != report.Start {
		if current.previous == report.Start {
			return
		}
		t.InstanceDown(report.Instance)
		current = incarnation{previous: current.start}
	}
	t.instances[report.Instance] = incarnation{start: report.Start, previous: current.previous, lastReport: now}
	t.unpin(report.Instance)
	for _, number := range report.Released {
		t.release(holdKey{report.Instance, number})
	}
	if !report.Whole {
		return
	}
	for _, i := range report.Replaced {
		t.core.MarkReplaced(i)
	}
	for _, o := range report.Paces[:min(len(report.Paces), pace.MaxObservations)] {
		t.core.MergePace(now, o)
	}
	listed := make(map[uint64]bool, len(report.Held))
	for _, h := range report.Held {
		listed[h.Number] = true
		t.adopt(now, report.Instance, h)
	}
	for key, h := range t.holds {
		if key.instance == report.Instance && !listed[key.number] && now.Sub(h.since) > grantTransit {
			t.release(key)
		}
	}
}

// adopt adds a hold that another broker granted.
func (t *HoldTable) adopt(now time.Time, instance string, h Hold) {
	key := holdKey{instance, h.Number}
	if known := t.holds[key]; known != nil {
		known.Run = h.Run
		if h.Needs > 0 {
			known.Needs, known.Laxity, known.Unstored, known.asOf = h.Needs, h.Laxity, h.Unstored, now
		}
		return
	}
	choice, ok := t.core.Acquire(now, h.Target, h.Batch)
	if ok {
		t.holds[key] = &trackedHold{Hold: h, instance: instance, choice: choice, since: now, asOf: now}
	}
}

func (t *HoldTable) release(key holdKey) {
	h := t.holds[key]
	if h == nil {
		return
	}
	delete(t.holds, key)
	if h.pinned {
		t.pinned--
	}
	if !h.yielding {
		t.core.Release(h.choice)
	}
}

// InstanceDown removes the holds of an instance whose process is known not to run.
func (t *HoldTable) InstanceDown(instance string) {
	for key := range t.holds {
		if key.instance == instance {
			t.release(key)
		}
	}
	delete(t.instances, instance)
}

// InstanceSilent records that an instance is silent. Its batch items can't be asked to yield,
// and earlier requests to yield may not have arrived.
//
// Without this, slots are granted twice when a network partition isolates a failure domain or
// instances lose power. The requests that these instances sent to targets of other domains run
// to their end, since no connection is closed. The broker would grant the slot of such an item
// a second time, and the request would wait in the target's queue for as long as an item takes.
func (t *HoldTable) InstanceSilent(now time.Time, instance string) {
	for key, h := range t.holds {
		if key.instance == instance {
			t.pin(now, h)
		}
	}
}

// YieldFailed records that an item could not be asked to yield.
func (t *HoldTable) YieldFailed(now time.Time, instance string, number uint64) {
	if h := t.holds[holdKey{instance, number}]; h != nil && h.yielding {
		t.pin(now, h)
	}
}

// pin counts a batch item's slot as occupied until the item ends: no instance can give it
// back earlier.
func (t *HoldTable) pin(now time.Time, h *trackedHold) {
	switch {
	case !h.Batch || h.pinned:
		return
	case h.yielding:
		h.yielding = false
		choice, ok := t.core.Acquire(now, h.Target, false)
		if !ok {
			return
		}
		h.choice = choice
	default:
		h.choice = t.core.Reclassify(h.choice, false)
	}
	h.pinned, h.pinnedSince, h.endRequested = true, now, false
	t.pinned++
}

// unpin reverts InstanceSilent when a report arrives from the instance again.
func (t *HoldTable) unpin(instance string) {
	if t.pinned == 0 {
		return
	}
	for key, h := range t.holds {
		if key.instance == instance && h.pinned {
			h.choice = t.core.Reclassify(h.choice, true)
			h.pinned = false
			t.pinned--
		}
	}
}

// Expire removes the holds of instances that have sent no report for instanceTimeout, each
// hold once the target should have finished its request.
func (t *HoldTable) Expire(now time.Time) {
	holding := map[string]bool{}
	for key, h := range t.holds {
		i, known := t.instances[key.instance]
		switch {
		case known && now.Sub(i.lastReport) <= instanceTimeout:
		case now.After(h.latestEnd()):
			t.release(key)
		default:
			holding[key.instance] = true
		}
	}
	for instance, i := range t.instances {
		if now.Sub(i.lastReport) > instanceTimeout && !holding[instance] {
			delete(t.instances, instance)
		}
	}
}

// Place grants a slot. If a batch item must yield its slot for it, the item's hold is returned
// too. The slot of that item counts as free from then on.
func (t *HoldTable) Place(now time.Time, instance string, h Hold, req placement.Requirements) (grant Grant, yielding *trackedHold, ok bool) {
	choice, yielding, ok := t.pick(now, req)
	if !ok {
		return Grant{}, nil, false
	}
	h.Target, h.Batch, h.Run = choice.ID, req.Batch, req.Run
	if yielding != nil {
		yielding.yielding = true
		t.core.Release(yielding.choice)
	}
	t.holds[holdKey{instance, h.Number}] = &trackedHold{Hold: h, instance: instance, choice: choice, since: now, asOf: now}
	grant = Grant{Number: h.Number, Target: choice.Target, Busy: choice.Busy, Slots: choice.Slots}
	grant.Unsure = choice.Unaccounted + len(t.pinnedHolds(choice.ID))
	grant.statePace(choice)
	return grant, yielding, true
}

// pinnedHolds returns the pinned holds at a target, the oldest first.
func (t *HoldTable) pinnedHolds(target string) (list []*trackedHold) {
	if t.pinned == 0 {
		return nil
	}
	for _, h := range t.holds {
		if h.pinned && h.Target == target {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *trackedHold) int { return a.since.Compare(b.since) })
	return list
}

// ApplyLoad applies a load report of a target. If the target reports fewer requests than are
// counted there, pinned ones have ended and are removed.
func (t *HoldTable) ApplyLoad(now time.Time, id string, load exchange.Load) {
	pinned := t.pinnedHolds(id)
	if len(pinned) > 0 {
		others := 0
		for _, h := range t.holds {
			if h.Target == id && !h.pinned && !h.yielding && now.Sub(h.since) > maxSendDelay {
				others++
			}
		}
		for len(pinned) > max(0, load.Running+load.Waiting-others) {
			t.release(holdKey{pinned[0].instance, pinned[0].Number})
			pinned = pinned[1:]
		}
	}
	t.core.ApplyLoad(now, id, load)
}

// latestDeadline returns the batch item at a target with the latest deadline, or nil.
func (t *HoldTable) latestDeadline(target string) *trackedHold {
	var last *trackedHold
	for _, h := range t.holds {
		if !h.Batch || h.yielding || h.pinned || h.Target != target {
			continue
		}
		if last == nil || cmp.Or(cmp.Compare(h.Due, last.Due), cmp.Compare(h.Number, last.Number), cmp.Compare(h.instance, last.instance)) > 0 {
			last = h
		}
	}
	return last
}

// Free returns the number of free slots.
func (t *HoldTable) Free(now time.Time) int { return t.core.Free(now) }

// MergePace adds what an instance observed at a target.
func (t *HoldTable) MergePace(now time.Time, o pace.Observation) { t.core.MergePace(now, o) }
