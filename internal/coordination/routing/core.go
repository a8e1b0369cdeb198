package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// Core is the routing decision. It is not safe for concurrent use.
type Core struct {
	opts    Options
	random  uint64
	pools   map[protocol.ServiceName]*pool
	targets map[protocol.TargetID]*target
	// ordered is the targets by id, nil if one came or went since.
	ordered []*target
	// services is the configuration that slots come from.
	services map[protocol.ServiceName]protocol.Service
}

// Choice is a target that was picked and whose call is counted as in flight.
type Choice struct {
	coordination.Pick
	target *target
	batch  bool
}

// NewCore returns a core that knows no target.
func NewCore(opts Options) *Core {
	return &Core{
		opts:    opts.withDefaults(),
		random:  opts.Seed,
		pools:   map[protocol.ServiceName]*pool{},
		targets: map[protocol.TargetID]*target{},
	}
}

// next is a step of splitmix64: cheap, and the same on every machine.
func (c *Core) next() uint64 {
	c.random += 0x9e3779b97f4a7c15
	return mix(c.random)
}

func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Pick chooses a target and counts the call as in flight until Done.
func (c *Core) Pick(now time.Time, req coordination.PickRequest) (Choice, bool) {
	p, ok := c.pools[req.Service]
	if !ok {
		return Choice{}, false
	}
	if !p.recheck.IsZero() && !now.Before(p.recheck) {
		p.rebuild(now, &c.opts)
	}
	t := c.choose(now, p, &req)
	if t == nil {
		return Choice{}, false
	}
	c.count(now, t, req.Batch, 1)
	pick := coordination.Pick{Target: t.id, Address: t.address, Domain: t.domain}
	return Choice{Pick: pick, target: t, batch: req.Batch}, true
}

func (c *Core) choose(now time.Time, p *pool, req *coordination.PickRequest) *target {
	if t := c.withPrefix(now, p, req); t != nil {
		return t
	}
	local := c.better(now, p.local, req.Exclude)
	if local != nil && local.load(now, &c.opts) < c.opts.SpillAt {
		return local
	}
	remote := c.better(now, p.remote, req.Exclude)
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

// better is the less loaded of two random targets that are not excluded.
func (c *Core) better(now time.Time, from []*target, exclude []protocol.TargetID) *target {
	first := c.any(from, exclude, nil)
	if first == nil {
		return nil
	}
	return c.lessLoaded(now, first, c.any(from, exclude, first))
}

// any is a random target beside the excluded ones and other. It starts at a
// random place and takes the first that fits, so that it ends after one round.
func (c *Core) any(from []*target, exclude []protocol.TargetID, other *target) *target {
	n := uint64(len(from))
	if n == 0 {
		return nil
	}
	start := c.next() % n
	for i := range n {
		t := from[(start+i)%n]
		if t != other && !slices.Contains(exclude, t.id) {
			return t
		}
	}
	return nil
}

// withPrefix is the target of the own domain that the prompt's prefix belongs
// to by rendezvous hashing, unless its load is too far above the mean or not
// known.
func (c *Core) withPrefix(now time.Time, p *pool, req *coordination.PickRequest) *target {
	if req.Prefix == 0 || c.opts.AffinityMargin <= 0 {
		return nil
	}
	t := p.owner(req.Prefix)
	if t == nil || slices.Contains(req.Exclude, t.id) || !t.freshly(now, &c.opts) {
		return nil
	}
	bound := (1+c.opts.AffinityMargin)*p.meanLoad() + 1/p.slots
	if t.load(now, &c.opts) > bound {
		return nil
	}
	return t
}

// lessLoaded is the less loaded of two targets, either of which may be nil.
func (c *Core) lessLoaded(now time.Time, first, second *target) *target {
	if first == nil || second == nil {
		return first
	}
	if second.load(now, &c.opts) < first.load(now, &c.opts) {
		return second
	}
	return first
}

func (c *Core) count(now time.Time, t *target, batch bool, by int) {
	if batch {
		t.batch += by
	} else {
		t.online += by
		t.pool.own += by
	}
	t.history.note(now, t.online+t.batch)
}

// Done ends the call of a choice.
func (c *Core) Done(now time.Time, choice Choice, result coordination.CallResult) {
	t := choice.target
	c.count(now, t, choice.batch, -1)
	switch {
	case result.Abandoned:
	case result.Leaving:
		t.saidLeaving = now
		t.pool.rebuild(now, &c.opts)
	case result.Failed:
		if t.health.bad(&c.opts) {
			c.eject(now, t)
		}
	default:
		t.health.good(result.FirstByte)
		t.health.recovered(&c.opts)
		c.ejectIfSlow(now, t)
	}
}

// BatchStarted counts a batch call at a target that was not chosen by Pick.
func (c *Core) BatchStarted(now time.Time, id protocol.TargetID) {
	if t, ok := c.targets[id]; ok {
		c.count(now, t, true, 1)
	}
}

// BatchDone ends such a call. A target that left the list meanwhile is no
// longer counted.
func (c *Core) BatchDone(now time.Time, id protocol.TargetID, result coordination.CallResult) {
	if t, ok := c.targets[id]; ok && t.batch > 0 {
		c.Done(now, Choice{target: t, batch: true}, result)
	}
}

func (c *Core) ejectIfSlow(now time.Time, t *target) {
	if t.health.samples == 0 || t.health.samples%c.opts.SlowSamples != 0 {
		return
	}
	mean, ok := t.pool.othersMean(t, &c.opts)
	if ok && t.health.slow(mean, &c.opts) {
		c.eject(now, t)
	}
}

func (c *Core) eject(now time.Time, t *target) {
	if t.health.ejected(now) || !t.pool.mayEject(now, &c.opts) {
		return
	}
	t.health.eject(now, &c.opts)
	t.pool.rebuild(now, &c.opts)
}

// SetPeerBatchItems tells how many batch items other instances have at a target,
// which its next reports count among its streams.
func (c *Core) SetPeerBatchItems(id protocol.TargetID, items int) {
	if t, ok := c.targets[id]; ok {
		t.batchElsewhere = items
	}
}

// ApplyReport takes in a target's load report.
func (c *Core) ApplyReport(now time.Time, load external.Load) {
	t, ok := c.targets[load.Target]
	if !ok {
		return
	}
	first, before := t.reportedAt.IsZero(), t.others
	t.report(now, load)
	if t.reportedAt.IsZero() {
		return
	}
	t.pool.replaceReport(first, before, t.others)
	if load.Leaving {
		t.pool.rebuild(now, &c.opts)
	}
}

func hashOf(id protocol.TargetID) uint64 {
	return xxhash.Sum64String(string(id))
}
