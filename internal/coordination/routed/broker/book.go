package broker

import (
	"cmp"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// underway is how old a hold must be before it is dropped because its
	// instance does not tell of it: the grant may still be on its way there.
	underway = 300 * time.Millisecond
	// forgetAfter is how long the holds of an instance count at least that tells
	// nothing. It tells every tellEvery.
	forgetAfter = 2 * time.Second
	// arrives is how long it takes at most until a request for which a slot was given
	// is at its target.
	arrives = 50 * time.Millisecond
	// usualLasts is taken for the time that a target is busy with an online request.
	// One that takes longer is noticed by the target's reports.
	usualLasts = 2 * time.Second
)

// Book keeps which instance holds which slot. It is pure and not safe for
// concurrent use.
type Book struct {
	core    *placement.Core
	holds   map[holdKey]*held
	heard   map[string]life
	targets map[string]roster.Target
	// stuck counts the holds that are stuck.
	stuck int
}

type holdKey struct {
	instance string
	number   uint64
}

type held struct {
	Hold
	instance string
	choice   placement.Choice
	since    time.Time
	// yields says that the batch item was asked to give its slot back, stuck that
	// it can't be asked.
	yields, stuck bool
	// stuckSince is when it got stuck, ending says that its target was asked to end it.
	stuckSince time.Time
	ending     bool
}

// ends is when a target should be done with a request at the latest.
func (h *held) ends() time.Time {
	lasts := h.Lasts
	if lasts <= 0 {
		lasts = usualLasts
	}
	return h.since.Add(lasts)
}

// life is a process of an instance. Starts are read from wall clocks, which jump, so that
// a later life may have the smaller one.
type life struct {
	start int64
	// ended is the start of the life before, whose last messages may come late.
	ended int64
	at    time.Time
}

// NewBook returns a book without targets.
func NewBook(core *placement.Core) *Book {
	return &Book{core: core, holds: map[holdKey]*held{}, heard: map[string]life{}, targets: map[string]roster.Target{}}
}

// SetTargets takes over the targets of the domain.
func (b *Book) SetTargets(list []roster.Target) {
	b.core.SetTargets(list)
	clear(b.targets)
	for _, t := range list {
		b.targets[t.ID] = t
	}
}

// ApplyReport takes over what an instance holds.
func (b *Book) ApplyReport(now time.Time, told HoldReport) {
	before, known := b.heard[told.Instance]
	if known && before.start != told.Start {
		if before.ended == told.Start {
			return
		}
		b.Gone(told.Instance)
		before = life{ended: before.start}
	}
	b.heard[told.Instance] = life{start: told.Start, ended: before.ended, at: now}
	b.loosen(told.Instance)
	for _, number := range told.Released {
		b.release(holdKey{told.Instance, number})
	}
	if !told.Whole {
		return
	}
	listed := make(map[uint64]bool, len(told.Held))
	for _, h := range told.Held {
		listed[h.Number] = true
		b.adopt(now, told.Instance, h)
	}
	for key, h := range b.holds {
		if key.instance == told.Instance && !listed[key.number] && now.Sub(h.since) > underway {
			b.release(key)
		}
	}
}

// adopt takes over a hold that another broker gave.
func (b *Book) adopt(now time.Time, instance string, h Hold) {
	key := holdKey{instance, h.Number}
	if known := b.holds[key]; known != nil {
		known.Run = h.Run
		return
	}
	choice, ok := b.core.Acquire(now, h.Target, h.Batch)
	if ok {
		b.holds[key] = &held{Hold: h, instance: instance, choice: choice, since: now}
	}
}

func (b *Book) release(key holdKey) {
	h := b.holds[key]
	if h == nil {
		return
	}
	delete(b.holds, key)
	if h.stuck {
		b.stuck--
	}
	if !h.yields {
		b.core.Release(h.choice)
	}
}

// Gone drops the holds of an instance.
func (b *Book) Gone(instance string) {
	for key := range b.holds {
		if key.instance == instance {
			b.release(key)
		}
	}
	delete(b.heard, instance)
}

// Silent notes that an instance is not heard. Its batch items can't be asked to
// give way, and those that were asked may not have heard of it.
//
// What goes wrong without it: a failure domain is cut off, or instances lose power.
// What they sent to targets elsewhere goes on running there to its end, since no
// connection is closed. A slot that the broker counts on is given away a second
// time, and the request stands in the target's queue for as long as an item takes.
func (b *Book) Silent(now time.Time, instance string) {
	for key, h := range b.holds {
		if key.instance == instance {
			b.stick(now, h)
		}
	}
}

// NotYielded notes that an item could not be asked to give way.
func (b *Book) NotYielded(now time.Time, instance string, number uint64) {
	if h := b.holds[holdKey{instance, number}]; h != nil && h.yields {
		b.stick(now, h)
	}
}

// stick counts an item's slot as one that nobody gives back before its time.
func (b *Book) stick(now time.Time, h *held) {
	switch {
	case !h.Batch || h.stuck:
		return
	case h.yields:
		h.yields = false
		choice, ok := b.core.Acquire(now, h.Target, false)
		if !ok {
			return
		}
		h.choice = choice
	default:
		h.choice = b.core.Reclassify(h.choice, false)
	}
	h.stuck, h.stuckSince, h.ending = true, now, false
	b.stuck++
}

// loosen takes back what Silent noted, once an instance is heard.
func (b *Book) loosen(instance string) {
	if b.stuck == 0 {
		return
	}
	for key, h := range b.holds {
		if key.instance == instance && h.stuck {
			h.choice = b.core.Reclassify(h.choice, true)
			h.stuck = false
			b.stuck--
		}
	}
}

// Expire drops the holds of instances that have told nothing for long, each when the
// target should be done with it.
func (b *Book) Expire(now time.Time) {
	holding := map[string]bool{}
	for key, h := range b.holds {
		l, known := b.heard[key.instance]
		switch {
		case known && now.Sub(l.at) <= forgetAfter:
		case now.After(h.ends()):
			b.release(key)
		default:
			holding[key.instance] = true
		}
	}
	for instance, l := range b.heard {
		if now.Sub(l.at) > forgetAfter && !holding[instance] {
			delete(b.heard, instance)
		}
	}
}

// Place gives a slot. If a batch item must give its slot back for it, the item's
// hold is returned too; its slot counts as free from now on.
func (b *Book) Place(now time.Time, instance string, h Hold, want placement.Requirements) (grant Grant, yields *held, ok bool) {
	choice, ok := b.core.Pick(now, want)
	if !ok {
		return Grant{}, nil, false
	}
	h.Target, h.Batch, h.Run = choice.ID, want.Batch, want.Run
	if choice.MustPreempt {
		yields = b.lastDue(choice.ID)
	}
	if yields != nil {
		yields.yields = true
		b.core.Release(yields.choice)
	}
	b.holds[holdKey{instance, h.Number}] = &held{Hold: h, instance: instance, choice: choice, since: now}
	grant = Grant{Number: h.Number, Target: choice.Target, Busy: choice.Busy, Slots: choice.Slots}
	grant.Unsure = choice.Unaccounted + len(b.stuckAt(choice.ID))
	return grant, yields, true
}

// stuckAt gives the holds at a target that are stuck, the oldest first.
func (b *Book) stuckAt(target string) (list []*held) {
	if b.stuck == 0 {
		return nil
	}
	for _, h := range b.holds {
		if h.stuck && h.Target == target {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *held) int { return a.since.Compare(b.since) })
	return list
}

// Loaded takes in what a target says of its load. If it has less to do than is
// counted there, stuck requests have ended.
func (b *Book) Loaded(now time.Time, id string, load exchange.Load) {
	stuck := b.stuckAt(id)
	if len(stuck) > 0 {
		told := 0
		for _, h := range b.holds {
			if h.Target == id && !h.stuck && !h.yields && now.Sub(h.since) > arrives {
				told++
			}
		}
		for len(stuck) > max(0, load.Running+load.Waiting-told) {
			b.release(holdKey{stuck[0].instance, stuck[0].Number})
			stuck = stuck[1:]
		}
	}
	b.core.ApplyLoad(now, id, load)
}

// lastDue is the batch item at a target that is due last.
func (b *Book) lastDue(target string) *held {
	var last *held
	for _, h := range b.holds {
		if !h.Batch || h.yields || h.stuck || h.Target != target {
			continue
		}
		if last == nil || cmp.Or(cmp.Compare(h.Due, last.Due), cmp.Compare(h.Number, last.Number), cmp.Compare(h.instance, last.instance)) > 0 {
			last = h
		}
	}
	return last
}

// Free counts the slots that are free.
func (b *Book) Free(now time.Time) int { return b.core.Free(now) }
