package policybench

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// Message delays and recovery times of the model.
const (
	// sameDomainDelay and crossDomainDelay are the one-way message delays within
	// a failure domain and between two.
	sameDomainDelay  = 100 * time.Microsecond
	crossDomainDelay = 400 * time.Microsecond
	// takeoverDelay is the time from the end of a process until its peers claim
	// its slots: the expiry of the session, then the peers' next check.
	takeoverDelay = 9 * time.Second
	// restartDelay is the time from the end of a process until its replacement
	// runs.
	restartDelay = 30 * time.Second
)

// ratePolicy is a configuration of the limiter.
type ratePolicy struct {
	name     string
	settings limiter.Settings
	// ownDomainOnly hides the slots of other failure domains from an instance.
	ownDomainOnly bool
}

// rateInstance has the limiter core of one instance.
type rateInstance struct {
	core    *limiter.Core
	running bool
}

// rateFleet runs the production limiter cores of all instances of a fleet.
type rateFleet struct {
	clock         *virtual.Clock
	random        *rand.Rand
	deployment    deployment
	fleet         *protocol.Fleet
	policy        ratePolicy
	instances     []*rateInstance
	instancesByID map[protocol.InstanceID]*rateInstance
	// assignments are the slot holders of each failure domain, as recorded in the
	// log.
	assignments map[protocol.Domain]limiter.Assignment
	fence       protocol.Offset
	// isolated is the failure domain that can reach neither the other domains nor
	// the log, empty if there is none.
	isolated  protocol.Domain
	exchanges int
}

func newRateFleet(d deployment, policy ratePolicy, c *virtual.Clock, random *rand.Rand) *rateFleet {
	f := &rateFleet{
		clock: c, random: random, deployment: d, fleet: d.fleet(), policy: policy,
		assignments: map[protocol.Domain]limiter.Assignment{},
	}
	f.instancesByID = map[protocol.InstanceID]*rateInstance{}
	for i := range d.instances {
		f.instances = append(f.instances, &rateInstance{running: true})
		f.instancesByID[d.instanceID(i)] = f.instances[i]
		f.startInstance(i)
	}
	for _, domain := range d.domains {
		f.assign(domain)
	}
	return f
}

// restartInstance starts a replacement process, which holds no slots.
func (f *rateFleet) restartInstance(i int) {
	f.startInstance(i)
	f.publishHolders()
}

func (f *rateFleet) startInstance(i int) {
	core := limiter.NewCore(f.deployment.instanceID(i), f.deployment.domainOf(i), f.policy.settings)
	core.Configure(f.clock.Now(), f.fleet, true)
	f.instances[i].core = core
	f.instances[i].running = true
}

// assign distributes the slots of a failure domain in the way its instances would
// claim them.
func (f *rateFleet) assign(domain protocol.Domain) {
	if f.isolated == domain {
		return
	}
	var ids []protocol.InstanceID
	for i, inst := range f.instances {
		if inst.running && f.deployment.domainOf(i) == domain {
			ids = append(ids, f.deployment.instanceID(i))
		}
	}
	before := f.assignments[domain]
	wanted := limiter.Assign(domain, ids, before)
	for slot, id := range wanted {
		if before[slot] != id {
			f.moveSlot(limiter.SlotKey{Domain: domain, Slot: slot}, before[slot], id)
		}
	}
	f.assignments[domain] = wanted
	f.publishHolders()
}

// moveSlot moves a slot to another instance, with its token balances if the previous
// holder is still running.
func (f *rateFleet) moveSlot(key limiter.SlotKey, from, to protocol.InstanceID) {
	receiver := f.byID(to)
	if old := f.byID(from); old != nil && old.running {
		old.core.SetUsableUntil(f.clock.Now().Add(time.Hour))
		if balances, ok := old.core.CloseSlot(f.clock.Now(), key); ok {
			receiver.core.ReceiveHandover(f.clock.Now(), balances)
		}
		old.core.RemoveSlot(key)
	}
	f.fence++
	receiver.core.SetUsableUntil(f.clock.Now().Add(24 * time.Hour))
	receiver.core.AddSlot(f.clock.Now(), key, f.fence)
}

func (f *rateFleet) byID(id protocol.InstanceID) *rateInstance { return f.instancesByID[id] }

// publishHolders gives every instance the current slot holders.
func (f *rateFleet) publishHolders() {
	for i, inst := range f.instances {
		holders := map[limiter.SlotKey]protocol.InstanceID{}
		for domain, slots := range f.assignments {
			if f.policy.ownDomainOnly && domain != f.deployment.domainOf(i) {
				continue
			}
			for slot, id := range slots {
				holders[limiter.SlotKey{Domain: domain, Slot: slot}] = id
			}
		}
		inst.core.SetHolders(holders)
	}
}

// kill terminates a process. A replacement starts restartDelay later under the same
// instance ID.
func (f *rateFleet) kill(i int) {
	f.instances[i].running = false
	domain := f.deployment.domainOf(i)
	killed := f.deployment.instanceID(i)
	f.clock.After(takeoverDelay, func() {
		slots := f.assignments[domain]
		if f.isolated == domain || f.instances[i].running {
			return
		}
		for slot := range slots {
			if slots[slot] == killed {
				slots[slot] = ""
			}
		}
		f.assignments[domain] = slots
		f.assign(domain)
	})
	f.clock.After(restartDelay, func() {
		f.restartInstance(i)
		f.assign(domain)
	})
}

// chooseInstance picks a running instance at random by the balancer's weights.
func (f *rateFleet) chooseInstance(weights []float64) int {
	sum := 0.0
	for i, inst := range f.instances {
		if inst.running {
			sum += weights[i]
		}
	}
	point := f.random.Float64() * sum
	last := 0
	for i, inst := range f.instances {
		if !inst.running {
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
	request.OutOfTime = !f.clock.Now().Before(deadline)
	verdict := f.instances[i].core.Decide(f.clock.Now(), request)
	for _, returned := range verdict.Returns {
		f.exchange(i, returned, func() {})
	}
	if verdict.Prefetch != nil {
		f.exchange(i, verdict.Prefetch, func() {})
	}
	switch {
	case verdict.Granted:
		decided(true)
	case verdict.Call != nil:
		f.exchange(i, verdict.Call, func() { f.decide(i, request, deadline, decided) })
	default:
		decided(false)
	}
}

// exchange sends a Take call to the slot holder and handles the reply, or a timeout
// if the holder can't be reached.
func (f *rateFleet) exchange(i int, call *limiter.TakeCall, done func()) {
	f.exchanges++
	sender := f.instances[i]
	holder := f.byID(call.Holder)
	if !holder.running || f.isPartitioned(i, call.Args.Slot.Domain) {
		f.clock.After(f.policy.settings.CallTimeout, func() {
			sender.core.HandleReply(f.clock.Now(), call, limiter.TakeReply{}, true)
			done()
		})
		return
	}
	delay := sameDomainDelay
	if call.Args.Slot.Domain != f.deployment.domainOf(i) {
		delay = crossDomainDelay
	}
	f.clock.After(delay, func() {
		reply := holder.core.Take(f.clock.Now(), call.Args)
		f.clock.After(delay, func() {
			sender.core.HandleReply(f.clock.Now(), call, reply, false)
			done()
		})
	})
}

func (f *rateFleet) isPartitioned(i int, domain protocol.Domain) bool {
	own := f.deployment.domainOf(i)
	return own != domain && (own == f.isolated || domain == f.isolated)
}
