package policybench

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// Times of the model.
const (
	hopInside  = 100 * time.Microsecond
	hopBetween = 400 * time.Microsecond
	// takeover is the time from a death to the claim of its slots: the expiry
	// of its session and the look of its mates.
	takeover = 9 * time.Second
	// restart is the time from a death to the replacement.
	restart = 30 * time.Second
)

// ratePolicy is one way of holding organisations to their rates.
type ratePolicy struct {
	name     string
	settings limiter.Settings
	// homeOnly leaves out the slots of other failure domains.
	homeOnly bool
}

// rateInstance is one instance of the model.
type rateInstance struct {
	core  *limiter.Core
	alive bool
}

// rateFleet runs the real limiter cores of a fleet.
type rateFleet struct {
	clock     *virtual.Clock
	random    *rand.Rand
	user      user
	fleet     *protocol.Fleet
	policy    ratePolicy
	instances []*rateInstance
	ids       map[protocol.InstanceID]*rateInstance
	// slots is who holds each slot, as the log has it.
	slots map[protocol.Domain]limiter.Assignment
	fence protocol.Offset
	// cut is the failure domain that reaches neither the others nor the log.
	cut       protocol.Domain
	exchanges int
}

func newRateFleet(u user, policy ratePolicy, c *virtual.Clock, random *rand.Rand) *rateFleet {
	f := &rateFleet{
		clock: c, random: random, user: u, fleet: u.fleet(), policy: policy,
		slots: map[protocol.Domain]limiter.Assignment{},
	}
	f.ids = map[protocol.InstanceID]*rateInstance{}
	for i := range u.instances {
		f.instances = append(f.instances, &rateInstance{alive: true})
		f.ids[u.instance(i)] = f.instances[i]
		f.start(i)
	}
	for _, domain := range u.domains {
		f.assign(domain)
	}
	return f
}

// boot replaces a process; the new one holds nothing.
func (f *rateFleet) boot(i int) {
	f.start(i)
	f.tell()
}

func (f *rateFleet) start(i int) {
	core := limiter.NewCore(f.user.instance(i), f.user.domainOf(i), f.policy.settings)
	core.Configure(f.clock.Now(), f.fleet, true)
	f.instances[i].core = core
	f.instances[i].alive = true
}

// assign moves the slots of a domain as its instances would claim them.
func (f *rateFleet) assign(domain protocol.Domain) {
	if f.cut == domain {
		return
	}
	var ids []protocol.InstanceID
	for i, inst := range f.instances {
		if inst.alive && f.user.domainOf(i) == domain {
			ids = append(ids, f.user.instance(i))
		}
	}
	before := f.slots[domain]
	wanted := limiter.Assign(domain, ids, before)
	for slot, id := range wanted {
		if before[slot] != id {
			f.move(limiter.SlotKey{Domain: domain, Slot: slot}, before[slot], id)
		}
	}
	f.slots[domain] = wanted
	f.tell()
}

// move hands a slot over from an instance that lives.
func (f *rateFleet) move(key limiter.SlotKey, from, to protocol.InstanceID) {
	target := f.byID(to)
	if old := f.byID(from); old != nil && old.alive {
		old.core.SetUsableUntil(f.clock.Now().Add(time.Hour))
		if balances, ok := old.core.CloseSlot(f.clock.Now(), key); ok {
			target.core.ReceiveHandover(f.clock.Now(), balances)
		}
		old.core.RemoveSlot(key)
	}
	f.fence++
	target.core.SetUsableUntil(f.clock.Now().Add(24 * time.Hour))
	target.core.AddSlot(f.clock.Now(), key, f.fence)
}

func (f *rateFleet) byID(id protocol.InstanceID) *rateInstance { return f.ids[id] }

// tell shows every instance who holds what.
func (f *rateFleet) tell() {
	for i, inst := range f.instances {
		holders := map[limiter.SlotKey]protocol.InstanceID{}
		for domain, slots := range f.slots {
			if f.policy.homeOnly && domain != f.user.domainOf(i) {
				continue
			}
			for slot, id := range slots {
				holders[limiter.SlotKey{Domain: domain, Slot: slot}] = id
			}
		}
		inst.core.SetHolders(holders)
	}
}

// kill ends a process; its replacement comes later at the same address.
func (f *rateFleet) kill(i int) {
	f.instances[i].alive = false
	domain := f.user.domainOf(i)
	dead := f.user.instance(i)
	f.clock.After(takeover, func() {
		slots := f.slots[domain]
		if f.cut == domain || f.instances[i].alive {
			return
		}
		for slot := range slots {
			if slots[slot] == dead {
				slots[slot] = ""
			}
		}
		f.slots[domain] = slots
		f.assign(domain)
	})
	f.clock.After(restart, func() {
		f.boot(i)
		f.assign(domain)
	})
}

// alive are the instances that the balancer may choose.
func (f *rateFleet) choose(weights []float64) int {
	sum := 0.0
	for i, inst := range f.instances {
		if inst.alive {
			sum += weights[i]
		}
	}
	point := f.random.Float64() * sum
	last := 0
	for i, inst := range f.instances {
		if !inst.alive {
			continue
		}
		last = i
		if point -= weights[i]; point < 0 {
			return i
		}
	}
	return last
}

// admit decides on a request at an instance and reports the decision.
func (f *rateFleet) admit(i int, org protocol.OrganisationID, decided func(granted bool)) {
	request := &limiter.Request{Organisation: org, Tokens: 1}
	f.decide(i, request, f.clock.Now().Add(f.policy.settings.ExchangeTimeout), decided)
}

func (f *rateFleet) decide(i int, request *limiter.Request, deadline time.Time, decided func(bool)) {
	verdict := f.instances[i].core.Decide(f.clock.Now(), request)
	for _, back := range verdict.Returns {
		f.exchange(i, back, func() {})
	}
	if verdict.Prefetch != nil {
		f.exchange(i, verdict.Prefetch, func() {})
	}
	switch {
	case verdict.Granted:
		decided(true)
	case verdict.Call != nil && f.clock.Now().Before(deadline):
		f.exchange(i, verdict.Call, func() { f.decide(i, request, deadline, decided) })
	default:
		decided(false)
	}
}

// exchange carries a Take to its holder and the answer back.
func (f *rateFleet) exchange(i int, ask *limiter.TakeCall, then func()) {
	f.exchanges++
	asker := f.instances[i]
	holder := f.byID(ask.Holder)
	if !holder.alive || f.isCut(i, ask.Args.Slot.Domain) {
		f.clock.After(f.policy.settings.CallTimeout, func() {
			asker.core.HandleReply(f.clock.Now(), ask, limiter.TakeReply{}, true)
			then()
		})
		return
	}
	hop := hopInside
	if ask.Args.Slot.Domain != f.user.domainOf(i) {
		hop = hopBetween
	}
	f.clock.After(hop, func() {
		reply := holder.core.Take(f.clock.Now(), ask.Args)
		f.clock.After(hop, func() {
			asker.core.HandleReply(f.clock.Now(), ask, reply, false)
			then()
		})
	})
}

func (f *rateFleet) isCut(i int, domain protocol.Domain) bool {
	own := f.user.domainOf(i)
	return own != domain && (own == f.cut || domain == f.cut)
}
