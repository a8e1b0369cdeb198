package broker

import (
	"cmp"
	"time"

	"merlintiller/internal/coordination/placement"
	"merlintiller/internal/state/roster"
)

const (
	// underway is how old a hold must be before it is dropped because its
	// instance does not tell of it: the grant may still be on its way there.
	underway = 300 * time.Millisecond
	// forgetAfter is how long the holds of an instance count that tells nothing.
	// It tells every tellEvery.
	forgetAfter = 2 * time.Second
)

// Book keeps which instance holds which slot. It is pure and not safe for
// concurrent use.
type Book struct {
	core    *placement.Core
	holds   map[holdKey]*held
	heard   map[string]life
	targets map[string]roster.Target
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
	// yields says that the batch item was asked to give its slot back.
	yields bool
}

type life struct {
	start int64
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

// Tell takes over what an instance holds.
func (b *Book) Tell(now time.Time, told Told) {
	if before, known := b.heard[told.Instance]; known && before.start != told.Start {
		if before.start > told.Start {
			return
		}
		b.Gone(told.Instance)
	}
	b.heard[told.Instance] = life{start: told.Start, at: now}
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
	if b.holds[key] != nil {
		return
	}
	choice, ok := b.core.Take(now, h.Target, h.Batch)
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

// Expire drops the holds of instances that have told nothing for long.
func (b *Book) Expire(now time.Time) {
	for instance, l := range b.heard {
		if now.Sub(l.at) > forgetAfter {
			b.Gone(instance)
		}
	}
}

// Place gives a slot. If a batch item must give its slot back for it, the item's
// hold is returned too; its slot counts as free from now on.
func (b *Book) Place(now time.Time, instance string, h Hold, want placement.Want) (grant Grant, yields *held, ok bool) {
	choice, ok := b.core.Pick(now, want)
	if !ok {
		return Grant{}, nil, false
	}
	h.Target, h.Batch = choice.ID, want.Batch
	if choice.Crowded {
		yields = b.lastDue(choice.ID)
	}
	if yields != nil {
		yields.yields = true
		b.core.Release(yields.choice)
	}
	b.holds[holdKey{instance, h.Number}] = &held{Hold: h, instance: instance, choice: choice, since: now}
	return Grant{Number: h.Number, Target: choice.Target, Busy: choice.Busy, Unseen: choice.Unseen, Slots: choice.Slots}, yields, true
}

// lastDue is the batch item at a target that is due last.
func (b *Book) lastDue(target string) *held {
	var last *held
	for _, h := range b.holds {
		if !h.Batch || h.yields || h.Target != target {
			continue
		}
		if last == nil || cmp.Compare(h.Due, last.Due) > 0 {
			last = h
		}
	}
	return last
}

// Free counts the slots that are free.
func (b *Book) Free(now time.Time) int { return b.core.Free(now) }
