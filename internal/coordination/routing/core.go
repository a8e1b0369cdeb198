package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Core implements the routing policy. It is not safe for concurrent use.
type Core struct {
	opts        Options
	randomState uint64
	pools       map[protocol.ServiceName]*pool
	targets     map[protocol.TargetID]*target
	// sortedTargets holds all targets, sorted by ID. It is nil after a target
	// was added or removed, until the next use.
	sortedTargets []*target
	// services is the configuration from which the number of slots is taken.
	services map[protocol.ServiceName]protocol.Service
}

// Choice is the result of Pick. Its call is counted as in flight until Done.
type Choice struct {
	coordination.Pick
	target *target
	batch  bool
}

// NewCore returns a core without any targets.
func NewCore(opts Options) *Core {
	return &Core{
		opts:        opts.withDefaults(),
		randomState: opts.Seed,
		pools:       map[protocol.ServiceName]*pool{},
		targets:     map[protocol.TargetID]*target{},
	}
}

// nextRandom returns the next number of a splitmix64 generator. It is fast and
// gives the same sequence on every machine.
func (c *Core) nextRandom() uint64 {
	c.randomState += 0x9e3779b97f4a7c15
	return mixBits(c.randomState)
}

func mixBits(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Pick selects a target and counts the call as in flight until Done. It returns
// false if no target may be used.
func (c *Core) Pick(now time.Time, req coordination.PickRequest) (Choice, bool) {
	p, ok := c.pools[req.Service]
	if !ok {
		return Choice{}, false
	}
	if !p.rebuildAt.IsZero() && !now.Before(p.rebuildAt) {
		p.rebuild(now, &c.opts)
	}
	t := c.selectTarget(now, p, &req)
	if t == nil {
		return Choice{}, false
	}
	c.addInFlight(now, t, req.Batch, 1)
	pick := coordination.Pick{Target: t.id, Address: t.address, Domain: t.domain, Version: t.version}
	return Choice{Pick: pick, target: t, batch: req.Batch}, true
}

func (c *Core) selectTarget(now time.Time, p *pool, req *coordination.PickRequest) *target {
	if t := c.affinityTarget(now, p, req); t != nil {
		return t
	}
	local := c.bestOfTwo(now, p.local, req)
	if local != nil && local.load(now, &c.opts) < c.opts.SpillAt {
		return local
	}
	remote := c.bestOfTwo(now, p.remote, req)
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	case remote.load(now, &c.opts)+c.opts.SpillMargin <= local.load(now, &c.opts):
		return remote
	default:
		return local
	}
}

// mayRun reports whether a call may run at a target, regardless of its load and health.
func mayRun(t *target, req *coordination.PickRequest) bool {
	return !slices.Contains(req.Exclude, t.id) && (!req.Resumes || t.version == req.Version)
}

// bestOfTwo returns the less loaded of two random targets at which the call may
// run, or nil if there is none.
func (c *Core) bestOfTwo(now time.Time, candidates []*target, req *coordination.PickRequest) *target {
	first := c.randomTarget(candidates, req, nil)
	if first == nil {
		return nil
	}
	return c.lessLoaded(now, first, c.randomTarget(candidates, req, first))
}

// randomTarget returns a random target other than other at which the call may
// run, or nil if there is none. It scans from a random index and takes the
// first match, so it needs at most one pass.
func (c *Core) randomTarget(candidates []*target, req *coordination.PickRequest, other *target) *target {
	n := uint64(len(candidates))
	if n == 0 {
		return nil
	}
	start := c.nextRandom() % n
	for i := range n {
		t := candidates[(start+i)%n]
		if t != other && mayRun(t, req) {
			return t
		}
	}
	return nil
}

// affinityTarget returns the target of the local domain that owns the prompt's
// prefix by rendezvous hashing. It returns nil if the target's load is too far
// above the mean or if no recent load report shows it.
func (c *Core) affinityTarget(now time.Time, p *pool, req *coordination.PickRequest) *target {
	if req.Prefix == 0 || c.opts.AffinityMargin <= 0 {
		return nil
	}
	t := p.prefixOwner(req.Prefix)
	if t == nil || !mayRun(t, req) || !t.hasFreshReport(now, &c.opts) {
		return nil
	}
	maxLoad := (1+c.opts.AffinityMargin)*p.meanLoad() + 1/p.slots
	if t.load(now, &c.opts) > maxLoad {
		return nil
	}
	return t
}

// lessLoaded returns the less loaded of two targets. If one of them is nil, it
// returns first.
func (c *Core) lessLoaded(now time.Time, first, second *target) *target {
	if first == nil || second == nil {
		return first
	}
	if second.load(now, &c.opts) < first.load(now, &c.opts) {
		return second
	}
	return first
}

func (c *Core) addInFlight(now time.Time, t *target, batch bool, delta int) {
	if batch {
		t.batch += delta
	} else {
		t.online += delta
		t.pool.ownOnline += delta
	}
	t.history.record(now, t.online+t.batch)
}

// Done records the end of a call that Pick counted, and its result.
func (c *Core) Done(now time.Time, choice Choice, result coordination.CallResult) {
	t := choice.target
	c.addInFlight(now, t, choice.batch, -1)
	switch {
	case result.Abandoned:
	case result.Leaving:
		t.leavingReportedAt = now
		t.pool.rebuild(now, &c.opts)
	case result.Failed:
		if t.health.recordFailure(&c.opts) {
			c.eject(now, t)
		}
	default:
		t.health.recordSuccess(result.FirstByte)
		t.health.resetEjections(&c.opts)
		c.ejectIfSlow(now, t)
	}
}

// BatchStarted counts a batch call at a target that was not selected by Pick.
func (c *Core) BatchStarted(now time.Time, id protocol.TargetID) {
	if t, ok := c.targets[id]; ok {
		c.addInFlight(now, t, true, 1)
	}
}

// BatchDone records the end of a call that BatchStarted counted. It does
// nothing if the target was removed in the meantime.
func (c *Core) BatchDone(now time.Time, id protocol.TargetID, result coordination.CallResult) {
	if t, ok := c.targets[id]; ok && t.batch > 0 {
		c.Done(now, Choice{target: t, batch: true}, result)
	}
}

func (c *Core) ejectIfSlow(now time.Time, t *target) {
	if t.health.samples == 0 || t.health.samples%c.opts.SlowMinSamples != 0 {
		return
	}
	mean, ok := t.pool.meanFirstByteExcept(t, &c.opts)
	if ok && t.health.isSlow(mean, &c.opts) {
		c.eject(now, t)
	}
}

func (c *Core) eject(now time.Time, t *target) {
	if t.health.isEjected(now) || !t.pool.mayEject(now, &c.opts) {
		return
	}
	t.health.eject(now, &c.opts)
	t.pool.rebuild(now, &c.opts)
}

// SetPeerBatchItems sets the number of batch items that other instances have at
// a target. The target's next reports include them in its streams.
func (c *Core) SetPeerBatchItems(id protocol.TargetID, items int) {
	if t, ok := c.targets[id]; ok {
		t.peerBatchItems = items
	}
}

// ApplyReport updates a target from its load report.
func (c *Core) ApplyReport(now time.Time, load external.Load) {
	t, ok := c.targets[load.Target]
	if !ok {
		return
	}
	first, before := t.reportedAt.IsZero(), t.peerStreams
	t.applyReport(now, load)
	if t.reportedAt.IsZero() {
		return
	}
	t.pool.updateReport(first, before, t.peerStreams)
	if load.Leaving {
		t.pool.rebuild(now, &c.opts)
	}
}

func hashTargetID(id protocol.TargetID) uint64 {
	return xxhash.Sum64String(string(id))
}
