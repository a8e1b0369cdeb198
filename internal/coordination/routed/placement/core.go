package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// defaultSlots is used for a target whose slots nobody told.
	defaultSlots = 8
	// remoteCost is how much busier, as a part of its slots, a target of the own
	// failure domain may be than another one. Two of eight slots: bytes between
	// failure domains cost, waiting costs more.
	remoteCost = 0.25
	// connectCost is the same for a target to which no connection is kept.
	connectCost = 0.13
	// fullCost puts targets without a free slot behind those with one.
	fullCost = 10
	// unseenFor is how long a report of unknown load counts. Answers come many
	// times a second where there is load.
	unseenFor = 300 * time.Millisecond
	// avoidFirst and avoidMost bound how long a target is left alone after it
	// failed, doubling each time: a crashed one is back within seconds. Then one
	// batch item or repeatable request probes it.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 3 * time.Second
	// strikesToAvoid is how many lost answers in a row make a target avoided. A
	// refused connection weighs as much by itself. Targets that lose one answer
	// in twenty would otherwise be avoided for most of the time.
	strikesToAvoid = 2
)

// Options make a Core.
type Options struct {
	// Domain is the own failure domain.
	Domain string
	// Connected says that an idle connection to an address is kept.
	Connected func(address string) bool
	// Random breaks ties. Instances must differ in it, or all of them would
	// choose the same target between two messages.
	Random *rand.Rand
	// Warming says that requests may be sent to targets that warm up, as many as these
	// bear. Only who decides for all instances may: nil, never.
	Warming func() bool
}

// Core keeps counts and chooses. It is not safe for concurrent use.
type Core struct {
	opts    Options
	targets map[string]*target
	// ids are those of the targets, in order: the same inputs and random numbers
	// must lead to the same choices.
	ids []string
	// silent are the failure domains whose instances are all silent.
	silent map[string]bool
	// peers are the counts that other instances told last.
	peers map[string][]InFlight
}

// InFlight is what an instance has at a target.
type InFlight struct {
	Target        string
	Online, Batch int
}

// Requirements is what a target is chosen for.
type Requirements struct {
	Service string
	// Run is the id under which the target will run it. Empty: not known yet.
	Run string
	// Domain is the only failure domain whose targets may be chosen. Empty: any.
	Domain string
	// Batch items take free slots only.
	Batch bool
	// Repeatable requests may probe a target that failed.
	Repeatable bool
	// Exclude are targets that had the request before, or that the asking
	// instance does not trust.
	Exclude []string
	// Connected are targets to which the asking instance keeps a connection, if
	// that is another one.
	Connected []string
}

// fits says that a target may be chosen, whatever its state.
func (w *Requirements) fits(t *target) bool {
	return t.listed && t.Service == w.Service && (w.Domain == "" || t.Domain == w.Domain)
}

// Choice is a target that was chosen, with the request counted there.
type Choice struct {
	roster.Target
	// MustPreempt says that all slots were taken when it was chosen and that batch
	// items hold some of them.
	MustPreempt bool
	// Busy and Slots are what the choice was made by, Unseen the part of Busy that
	// no instance tells of now.
	Busy, Unseen, Slots int
	// Number and Broker say under which number which broker gave the slot, if
	// one did.
	Number uint64
	Broker string
	batch  bool
}

// New returns a core that knows no target.
func New(opts Options) *Core {
	return &Core{opts: opts, targets: map[string]*target{}, silent: map[string]bool{}, peers: map[string][]InFlight{}}
}

// SetTargets takes over the targets that may be used. Counts of those that stay
// are kept, and of those that go until their requests have ended.
func (c *Core) SetTargets(list []roster.Target) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		t := c.targets[entry.ID]
		if t == nil || t.Started != entry.Started || t.Address != entry.Address {
			t = &target{slots: defaultSlots}
			c.add(entry.ID, t)
		}
		t.Target = entry
		t.warmUp.take(entry.Warming)
		t.listed = true
		if entry.Slots > 0 {
			t.slots = entry.Slots
		}
	}
	for id, t := range c.targets {
		if listed[id] {
			continue
		}
		t.listed = false
		if t.online+t.batch == 0 {
			c.remove(id)
		}
	}
	c.countPeers()
}

func (c *Core) add(id string, t *target) {
	if c.targets[id] == nil {
		at, _ := slices.BinarySearch(c.ids, id)
		c.ids = slices.Insert(c.ids, at, id)
	}
	c.targets[id] = t
}

func (c *Core) remove(id string) {
	delete(c.targets, id)
	if at, found := slices.BinarySearch(c.ids, id); found {
		c.ids = slices.Delete(c.ids, at, at+1)
	}
}

// SetDomainSilent notes that all instances of another failure domain are silent,
// while those of others are not, or that one is heard again. The targets of a
// silent domain are probed before they get requests that may not be repeated.
//
// What goes wrong without it: the path to a failure domain is cut. Each target
// there shows it only by requests that wait in vain, and those that may not be
// repeated are lost.
func (c *Core) SetDomainSilent(now time.Time, domain string, silent bool) {
	if c.silent[domain] == silent {
		return
	}
	c.silent[domain] = silent
	for _, t := range c.targets {
		switch {
		case t.Domain != domain:
		case silent:
			t.health.avoid(now)
		default:
			t.health.good()
		}
	}
}

// SetPeer takes over what another instance has at the targets. Nothing forgets
// the instance.
func (c *Core) SetPeer(name string, held []InFlight) {
	c.countPeer(c.peers[name], -1)
	c.countPeer(held, 1)
	if len(held) == 0 {
		delete(c.peers, name)
	} else {
		c.peers[name] = held
	}
}

// countPeers counts what all other instances have.
func (c *Core) countPeers() {
	for _, t := range c.targets {
		t.elsewhereOnline, t.elsewhereBatch = 0, 0
	}
	for _, held := range c.peers {
		c.countPeer(held, 1)
	}
}

// countPeer adds what one instance has to the counts of the targets, or takes it off
// with a factor of -1. A message comes many times a second from each instance of a
// fleet, so it must not count anew what all of them have.
func (c *Core) countPeer(held []InFlight, factor int) {
	for _, h := range held {
		if t := c.targets[h.Target]; t != nil {
			t.elsewhereOnline += factor * h.Online
			t.elsewhereBatch += factor * h.Batch
		}
	}
}

// InFlight gives what this instance has at the targets.
func (c *Core) InFlight() []InFlight {
	var out []InFlight
	for id, t := range c.targets {
		if t.online+t.batch > 0 {
			out = append(out, InFlight{Target: id, Online: t.online, Batch: t.batch})
		}
	}
	return out
}

// Pick chooses a target and counts the request there until Done. It fails if
// none is known or all are full.
func (c *Core) Pick(now time.Time, want Requirements) (Choice, bool) {
	best, any := c.best(now, want, trusted)
	if best == nil && !any && !want.Batch {
		// No target is trusted. Refusing would be worse than a try.
		best, _ = c.best(now, want, suspected)
	}
	if best == nil {
		return Choice{}, false
	}
	busy := best.busy(now)
	choice := Choice{
		Target: best.Target, Busy: busy, Unseen: best.beyond(now), Slots: best.slots, batch: want.Batch,
		MustPreempt: !want.Batch && busy >= best.slots && best.batches() > 0,
	}
	best.take(want.Batch)
	best.begins(now)
	return choice, true
}

// trusted lets a target be chosen that has not failed lately, or that this
// request may probe. suspected lets all others be chosen.
func trusted(now time.Time, t *target, want Requirements) bool {
	return t.health.trusted() || (want.Batch || want.Repeatable) && t.mayProbe(now)
}

func suspected(now time.Time, t *target, want Requirements) bool { return !trusted(now, t, want) }

// best is the target with the least cost among those that are allowed. It also
// says whether any is allowed, be it full.
func (c *Core) best(now time.Time, want Requirements, allowed func(time.Time, *target, Requirements) bool) (best *target, any bool) {
	least := 0.0
	for _, id := range c.ids {
		t := c.targets[id]
		if !want.fits(t) || slices.Contains(want.Exclude, id) || !allowed(now, t, want) {
			continue
		}
		any = true
		if !c.mayBegin(now, t) {
			continue
		}
		cost, ok := c.cost(now, t, want)
		if ok && (best == nil || cost < least) {
			best, least = t, cost
		}
	}
	return best, any
}

// cost ranks a target, the least first. It is not ok if the target is full.
// Batch items give way, so that they keep no online request out.
func (c *Core) cost(now time.Time, t *target, want Requirements) (float64, bool) {
	busy := t.busy(now)
	cost := c.placeCost(t, want) + float64(busy)/float64(t.slots)
	if want.Batch {
		return cost, busy < t.slots
	}
	if busy >= t.slots {
		cost += fullCost
	}
	return cost, busy-t.batches() < t.slots
}

// placeCost prefers the own failure domain and kept connections.
func (c *Core) placeCost(t *target, want Requirements) float64 {
	const tie = 0.01
	cost := tie * c.opts.Random.Float64()
	if t.Domain != c.opts.Domain {
		cost += remoteCost
	}
	connected := slices.Contains(want.Connected, t.ID) || c.opts.Connected != nil && c.opts.Connected(t.Address)
	if !connected {
		cost += connectCost
	}
	return cost
}

// Take counts a request at a target that was chosen elsewhere.
func (c *Core) Take(now time.Time, id string, batch bool) (Choice, bool) {
	t := c.targets[id]
	if t == nil {
		return Choice{}, false
	}
	choice := Choice{Target: t.Target, Busy: t.busy(now), Slots: t.slots, batch: batch}
	t.take(batch)
	return choice, true
}

// Release takes a count back, without saying anything of the target.
func (c *Core) Release(choice Choice) {
	if t := c.targets[choice.ID]; t != nil && t.same(choice) {
		t.release(choice.batch)
	}
}

// Recount counts a request as another kind from now on, without saying anything of
// the target.
func (c *Core) Recount(choice Choice, batch bool) Choice {
	c.Release(choice)
	choice.batch = batch
	if t := c.targets[choice.ID]; t != nil && t.same(choice) {
		t.take(batch)
	}
	return choice
}

// Free counts the free slots of all targets that are trusted.
func (c *Core) Free(now time.Time) int {
	free := 0
	for _, t := range c.targets {
		if t.listed && t.health.trusted() {
			free += c.free(now, t)
		}
	}
	return free
}

// FreeAt counts the free slots of one target.
func (c *Core) FreeAt(now time.Time, id string) int {
	if t := c.targets[id]; t != nil && t.health.trusted() {
		return c.free(now, t)
	}
	return 0
}

// Slots counts the slots of a service at targets that are trusted, and those of them
// that are free.
func (c *Core) Slots(now time.Time, service string) (all, free int) {
	for _, t := range c.targets {
		if t.listed && t.Service == service && t.health.trusted() {
			all += t.slots
			free += c.free(now, t)
		}
	}
	return all, free
}

// Distrusted gives the targets that a request should not go to. If it could go
// to no other, none are given: refusing would be worse than a try.
func (c *Core) Distrusted(now time.Time, want Requirements) []string {
	var out []string
	others := false
	for id, t := range c.targets {
		if !want.fits(t) || slices.Contains(want.Exclude, id) {
			continue
		}
		if trusted(now, t, want) {
			others = true
		} else {
			out = append(out, id)
		}
	}
	if !others {
		return nil
	}
	return out
}

// Known says whether any target of a service may be used now.
func (c *Core) Known(service string) bool {
	for _, t := range c.targets {
		if t.listed && t.Service == service {
			return true
		}
	}
	return false
}

// Told takes in what a target says of its load.
func (c *Core) Told(now time.Time, id string, load exchange.Load) {
	if t := c.targets[id]; t != nil {
		t.told(now, load)
	}
}
