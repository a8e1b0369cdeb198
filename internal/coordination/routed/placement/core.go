package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// defaultSlots is the number of slots assumed for a target that reported none.
	defaultSlots = 8
	// remoteDomainCost is how much busier, as a fraction of its slots, a target of the own
	// failure domain may be than a target of another domain: two of eight slots. Traffic
	// between failure domains is expensive, but waiting is worse.
	remoteDomainCost = 0.25
	// newConnectionCost is the same for a target without a kept connection.
	newConnectionCost = 0.13
	// fullCost ranks targets without a free slot behind those with one.
	fullCost = 10
	// unaccountedTTL is how long a report of unaccounted requests is used. Under load,
	// answers with new reports arrive many times a second.
	unaccountedTTL = 300 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long a target is avoided after it failed.
	// The time doubles with each failure. A crashed target is back within seconds. After
	// the pause, one batch item or idempotent request probes the target.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// avoidanceThreshold is the failure score at which a target is avoided: two lost
	// answers in a row, or one refused connection. With a threshold of one, targets that
	// lose one answer in twenty would be avoided most of the time.
	avoidanceThreshold = 2
)

// Options configure a Core.
type Options struct {
	// Domain is the own failure domain.
	Domain string
	// Connected reports whether an idle connection to an address is kept.
	Connected func(address string) bool
	// Random breaks ties. Each instance needs its own seed: otherwise all instances would
	// choose the same target between two exchanges of counts.
	Random *rand.Rand
	// AllowWarmingUp reports whether requests may be sent to targets that are warming up,
	// within the rate that those targets can handle. Only a core that decides for all
	// instances may do so. If nil, no requests are sent to such targets.
	AllowWarmingUp func() bool
	// PaceMaxAge is the age up to which paces that targets report are used, see pace.Estimator.
	// 0: targets are ranked without their paces.
	PaceMaxAge time.Duration
}

// Core counts requests in flight and chooses targets. It is not safe for concurrent use.
type Core struct {
	opts    Options
	targets map[string]*target
	// ids are the keys of targets, sorted: the same inputs and random numbers must lead
	// to the same choices.
	ids []string
	// silentDomains are the failure domains whose instances are all silent.
	silentDomains map[string]bool
	// peers are the latest counts that each other instance reported.
	peers map[string][]InFlight
	// reportsPace has the services with a target that has reported its pace.
	reportsPace map[string]bool
	// replaced are the listed targets whose addresses other targets use, by id.
	replaced map[string]roster.Target
	paces    *pace.Estimator
}

// InFlight is the number of requests that an instance has in flight at a target. gob sends its
// fields under their Go names.
type InFlight struct {
	Target        string
	Online, Batch int
}

// Requirements describe a request or batch item for which a target is chosen. gob sends the
// fields under their Go names.
type Requirements struct {
	Service string
	// Run is the ID under which the target will run the request. Empty: not known yet.
	Run string
	// Versions are the software versions whose targets may be chosen. Empty: any.
	Versions []string
	// Domain is the only failure domain whose targets may be chosen. Empty: any.
	Domain string
	// Batch marks a batch item, which takes free slots only.
	Batch bool
	// Repeatable marks an idempotent request, which may probe a target that failed.
	Repeatable bool
	// Exclude are targets that were already tried for this request, or that the
	// requesting instance does not trust.
	Exclude []string
	// Connected are targets to which the requesting instance keeps a connection, if the
	// choice is made on another instance.
	Connected []string
}

// Allows reports whether a listed target is one of those that may be chosen.
func (r *Requirements) Allows(t roster.Target) bool {
	return t.Service == r.Service && (r.Domain == "" || t.Domain == r.Domain) && r.AllowsVersion(t.Version)
}

// AllowsVersion reports whether targets of a software version may be chosen.
func (r *Requirements) AllowsVersion(version string) bool {
	return len(r.Versions) == 0 || slices.Contains(r.Versions, version)
}

// matches reports whether a target may be chosen, regardless of its load and health.
func (r *Requirements) matches(t *target) bool {
	return t.listed && r.Allows(t.Target)
}

// Choice is a chosen target at which the request is counted.
type Choice struct {
	roster.Target
	// MustPreempt is set if all slots were taken at the time of the choice and batch items
	// occupied some of them.
	MustPreempt bool
	// Busy is the number of occupied slots and Slots the number of all slots on which the
	// choice was based. Unaccounted is the part of Busy that no instance currently reports.
	Busy, Unaccounted, Slots int
	// Number is the number of the hold and Broker the address of the broker that granted
	// the slot. Both are zero if no broker was involved.
	Number uint64
	Broker string
	// Lists describe the lists of targets on which the choice was based.
	Lists Lists
	// Pace is the estimate on which the choice was based. It is zero if targets are ranked
	// without their paces.
	Pace pace.Estimate
	// MovedFrom is the target that would have been chosen without the paces, and MovedFromPace
	// its pace. Empty: the same one.
	MovedFrom     string
	MovedFromPace pace.Estimate
	// Queue is what the brokers knew while the request waited. It is also set if no target was
	// chosen: it then says whether the request was rejected, and when to return.
	Queue QueueState
	batch bool
}

// New returns a core without targets.
func New(opts Options) *Core {
	return &Core{opts: opts, targets: map[string]*target{}, silentDomains: map[string]bool{}, peers: map[string][]InFlight{}, replaced: map[string]roster.Target{}, reportsPace: map[string]bool{}, paces: pace.New(opts.PaceMaxAge)}
}

// SetTargets replaces the list of usable targets. The counts of targets that remain are
// kept, and those of removed targets until their requests have ended.
func (c *Core) SetTargets(list []roster.Target) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		t := c.targets[entry.ID]
		if t == nil || t.Started != entry.Started || t.Address != entry.Address {
			t = &target{slots: defaultSlots}
			c.add(entry.ID, t)
			c.paces.Forget(entry.ID)
		}
		t.Target = entry
		t.warmUp.apply(entry.Warming)
		t.listed = !c.isReplaced(entry)
		if t.listed {
			delete(c.replaced, entry.ID)
		}
		if entry.Slots > 0 {
			t.slots = entry.Slots
		}
	}
	for id := range c.replaced {
		if !listed[id] {
			delete(c.replaced, id)
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
	c.recountPeers()
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
	c.paces.Forget(id)
	if at, found := slices.BinarySearch(c.ids, id); found {
		c.ids = slices.Delete(c.ids, at, at+1)
	}
}

// SetDomainSilent records whether all instances of another failure domain are silent while
// those of other domains are not. The targets of a silent domain are probed before they get
// requests that are not idempotent.
//
// Without this, a network partition that isolates a failure domain would show at each of its
// targets only by requests that wait until they time out, and those that are not idempotent
// would be lost.
func (c *Core) SetDomainSilent(now time.Time, domain string, silent bool) {
	if c.silentDomains[domain] == silent {
		return
	}
	c.silentDomains[domain] = silent
	for _, t := range c.targets {
		switch {
		case t.Domain != domain:
		case silent:
			t.health.avoid(now)
		default:
			t.health.succeeded()
		}
	}
}

// SetPeer replaces the counts of another instance. An empty list removes the instance.
func (c *Core) SetPeer(name string, counts []InFlight) {
	c.addPeerCounts(c.peers[name], -1)
	c.addPeerCounts(counts, 1)
	if len(counts) == 0 {
		delete(c.peers, name)
	} else {
		c.peers[name] = counts
	}
}

// recountPeers recomputes the counts of all other instances.
func (c *Core) recountPeers() {
	for _, t := range c.targets {
		t.peerOnline, t.peerBatch = 0, 0
	}
	for _, counts := range c.peers {
		c.addPeerCounts(counts, 1)
	}
}

// addPeerCounts adds the counts of one instance to the targets, or subtracts them with a
// factor of -1. Each instance of a fleet sends its counts many times a second, so a message
// must not cause a recount of all instances.
func (c *Core) addPeerCounts(counts []InFlight, factor int) {
	for _, n := range counts {
		if t := c.targets[n.Target]; t != nil {
			t.peerOnline += factor * n.Online
			t.peerBatch += factor * n.Batch
		}
	}
}

// InFlight returns the requests of this instance in flight at each target.
func (c *Core) InFlight() []InFlight {
	var out []InFlight
	for id, t := range c.targets {
		if t.online+t.batch > 0 {
			out = append(out, InFlight{Target: id, Online: t.online, Batch: t.batch})
		}
	}
	return out
}

// Pick chooses a target and counts the request there until Done. It fails if no target is
// known or all are full.
func (c *Core) Pick(now time.Time, req Requirements) (Choice, bool) {
	ranked := c.rank(now, req, trusted)
	if ranked.best == nil && !ranked.exists && !req.Batch {
		// No target is trusted. Trying a suspect one is better than rejecting the request.
		ranked = c.rank(now, req, suspected)
	}
	best := ranked.best
	if best == nil {
		return Choice{}, false
	}
	busy := best.busy(now)
	choice := Choice{
		Target: best.Target, Busy: busy, Unaccounted: best.currentUnaccounted(now), Slots: best.slots, batch: req.Batch,
		MustPreempt: !req.Batch && busy >= best.slots && best.batchCount() > 0,
	}
	if c.usesPace(best.Service) {
		choice.Pace = c.Pace(now, best.ID)
		if other := ranked.bestWithoutPace; other != best {
			choice.MovedFrom, choice.MovedFromPace = other.ID, c.Pace(now, other.ID)
			movedPlacements.Inc()
		}
	}
	best.acquire(req.Batch)
	best.started(now)
	return choice, true
}

// trusted reports whether a target has not failed recently or may be probed by this
// request.
func trusted(now time.Time, t *target, req Requirements) bool {
	return t.health.trusted() || (req.Batch || req.Repeatable) && t.mayProbe(now)
}

// suspected is the opposite of trusted.
func suspected(now time.Time, t *target, req Requirements) bool { return !trusted(now, t, req) }

// ranking is the result of ranking the allowed targets.
type ranking struct {
	// best is the target with the lowest cost, nil if there is none.
	best *target
	// bestWithoutPace is the one with the lowest cost if all had the same pace.
	bestWithoutPace *target
	// exists reports whether any target is allowed, even if it is full.
	exists bool
}

// rank ranks the allowed targets.
func (c *Core) rank(now time.Time, req Requirements, allowed func(time.Time, *target, Requirements) bool) (r ranking) {
	var least, leastWithoutPace, meanPace float64
	if !req.Batch && c.usesPace(req.Service) {
		meanPace = c.paces.Mean(now, req.Service)
	}
	for _, id := range c.ids {
		t := c.targets[id]
		if !req.matches(t) || slices.Contains(req.Exclude, id) || !allowed(now, t, req) {
			continue
		}
		r.exists = true
		if !c.mayStart(now, t) {
			continue
		}
		cost, paceCost, ok := c.cost(now, t, req, meanPace)
		if !ok {
			continue
		}
		if r.bestWithoutPace == nil || cost < leastWithoutPace {
			r.bestWithoutPace, leastWithoutPace = t, cost
		}
		if r.best == nil || cost+paceCost < least {
			r.best, least = t, cost+paceCost
		}
	}
	return r
}

// cost ranks a target: the lowest sum of cost and paceCost is chosen. cost does not depend on
// the target's pace, and paceCost is 0 at the mean pace of the service, which is 0 if targets are
// ranked without their paces. ok is false if the target
// is full. Batch items yield, so they don't make a target full for online requests.
//
// Batch items are ranked without the pace. An item takes several times as long as a slow phase
// of a target, and would take the slots of the fast targets from online requests.
func (c *Core) cost(now time.Time, t *target, req Requirements, meanPace float64) (cost, paceCost float64, ok bool) {
	busy := t.busy(now)
	load := float64(busy) / float64(t.slots)
	cost = c.localityCost(t, req) + load
	if req.Batch {
		return cost, 0, busy < t.slots
	}
	if meanPace > 0 {
		paceCost = pace.Cost(load, c.paces.Relative(now, meanPace, t.ID)) - load
	}
	if busy >= t.slots {
		cost += fullCost
	}
	return cost, paceCost, busy-t.batchCount() < t.slots
}

// localityCost is lower for targets of the own failure domain and for those with a kept
// connection.
func (c *Core) localityCost(t *target, req Requirements) float64 {
	const tieBreak = 0.01
	cost := tieBreak * c.opts.Random.Float64()
	if t.Domain != c.opts.Domain {
		cost += remoteDomainCost
	}
	connected := slices.Contains(req.Connected, t.ID) || c.opts.Connected != nil && c.opts.Connected(t.Address)
	if !connected {
		cost += newConnectionCost
	}
	return cost
}

// Acquire counts a request at a target that was chosen on another instance.
func (c *Core) Acquire(now time.Time, id string, batch bool) (Choice, bool) {
	t := c.targets[id]
	if t == nil {
		return Choice{}, false
	}
	choice := Choice{Target: t.Target, Busy: t.busy(now), Slots: t.slots, batch: batch}
	t.acquire(batch)
	return choice, true
}

// Release removes a request from the counts. It has no effect on the target's health.
func (c *Core) Release(choice Choice) {
	if t := c.targets[choice.ID]; t != nil && t.sameIncarnation(choice) {
		t.release(choice.batch)
	}
}

// Reclassify counts a request as online or batch from now on. It has no effect on the
// target's health.
func (c *Core) Reclassify(choice Choice, batch bool) Choice {
	c.Release(choice)
	choice.batch = batch
	if t := c.targets[choice.ID]; t != nil && t.sameIncarnation(choice) {
		t.acquire(batch)
	}
	return choice
}

// Free returns the number of free slots at all trusted targets.
func (c *Core) Free(now time.Time) int {
	free := 0
	for _, t := range c.targets {
		if t.listed && t.health.trusted() {
			free += c.free(now, t)
		}
	}
	return free
}

// FreeAt returns the number of free slots at one target.
func (c *Core) FreeAt(now time.Time, id string) int {
	if t := c.targets[id]; t != nil && t.health.trusted() {
		return c.free(now, t)
	}
	return 0
}

// Slots returns the number of all slots and of free slots of a service at trusted targets.
func (c *Core) Slots(now time.Time, service string) (all, free int) {
	for _, t := range c.targets {
		if t.listed && t.Service == service && t.health.trusted() {
			all += t.slots
			free += c.free(now, t)
		}
	}
	return all, free
}

// Untrusted returns the targets to which a request should not be sent. Of those that may answer
// it returns none if there is no other target: trying one is better than rejecting the request.
func (c *Core) Untrusted(now time.Time, req Requirements) []string {
	var out, replaced []string
	for id, t := range c.replaced {
		if req.Allows(t) {
			replaced = append(replaced, id)
		}
	}
	others := false
	for id, t := range c.targets {
		if !req.matches(t) || slices.Contains(req.Exclude, id) {
			continue
		}
		if trusted(now, t, req) {
			others = true
		} else {
			out = append(out, id)
		}
	}
	if !others {
		return replaced
	}
	return append(out, replaced...)
}

// HasTargets reports whether the list contains a target that may be chosen, regardless of its
// load and health.
func (c *Core) HasTargets(req Requirements) bool {
	for _, t := range c.targets {
		if req.matches(t) {
			return true
		}
	}
	return false
}

// ApplyLoad applies a load report of a target.
func (c *Core) ApplyLoad(now time.Time, id string, load exchange.Load) {
	t := c.targets[id]
	if t == nil {
		return
	}
	t.applyLoad(now, load)
	if load.Pace > 0 {
		c.reportsPace[t.Service] = true
		c.paces.Report(now, t.Service, id, load.Pace)
	}
}

// ReportsPace reports whether targets of a service report how long work takes at them. Their
// speed changes while they serve, so that fixed times and slot counts don't describe them.
func (c *Core) ReportsPace(service string) bool { return c.reportsPace[service] }
