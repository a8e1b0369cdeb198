package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

const (
	// onlineWait and itemWait are the times that a request and an item wait in the
	// queue of one broker.
	onlineWait = 100 * time.Millisecond
	itemWait   = 200 * time.Millisecond
	// pollInterval is the interval at which waiting requests are considered again.
	pollInterval = 20 * time.Millisecond
)

// brokerSource is the strategy with brokers: one for each failure domain, or one for
// all domains.
type brokerSource struct {
	*simulation
	strategy    Strategy
	brokers     map[string]*domainBroker
	lastRequest uint64
	// yieldFuncs has the yield function of each running item by the number of its
	// grant.
	yieldFuncs map[uint64]func() bool
	// requesting has the item requests in flight.
	requesting map[itemRequestKey]bool
	// held has the slots that instances hold, by the number of their grants.
	held map[uint64]heldSlot
}

// heldSlot is a slot that an instance holds.
type heldSlot struct {
	inst   *instance
	domain string
	hold   broker.Hold
	since  time.Time
}

type itemRequestKey struct {
	instance int
	domain   string
}

// domainBroker is one broker, with the slot allocator of production.
type domainBroker struct {
	*brokerSource
	domain        string
	allocator     *broker.SlotAllocator
	pending       map[*broker.Waiter]func(grant broker.Grant, ok bool)
	pollScheduled bool
}

// allDomains is the domain name of a broker for all failure domains.
const allDomains = "all"

func newBrokerSource(sim *simulation, strategy Strategy) *brokerSource {
	b := &brokerSource{simulation: sim, strategy: strategy, brokers: map[string]*domainBroker{}, yieldFuncs: map[uint64]func() bool{}, requesting: map[itemRequestKey]bool{}, held: map[uint64]heldSlot{}}
	for _, name := range b.brokerDomains() {
		d := &domainBroker{brokerSource: b, domain: name, pending: map[*broker.Waiter]func(broker.Grant, bool){}}
		d.newAllocator()
		b.brokers[name] = d
	}
	if sim.NewBrokersAt > 0 {
		sim.clock.After(sim.NewBrokersAt, b.replaceBrokers)
	}
	return b
}

// newAllocator gives a broker an allocator without holds.
func (d *domainBroker) newAllocator() {
	core := placement.New(placement.Options{Domain: d.domain, Random: rand.New(rand.NewPCG(d.random.Uint64(), 1))})
	d.allocator = broker.NewSlotAllocator(core)
	d.allocator.PauseAfterYield, d.allocator.ReserveAfterYield = d.strategy.PauseAfterYield, d.strategy.ReserveAfterYield
	if d.strategy.Forecast {
		d.allocator.UseForecast()
	}
}

// reportInterval is the interval of full reports of the holds.
const reportInterval = 400 * time.Millisecond

// replaceBrokers replaces each broker by a successor, as when the instance of a broker dies. Its
// waiters ask again, and each instance reports its holds within reportInterval.
func (b *brokerSource) replaceBrokers() {
	for _, name := range b.brokerDomains() {
		d := b.brokers[name]
		d.newAllocator()
		pending := d.pending
		d.pending = map[*broker.Waiter]func(broker.Grant, bool){}
		for _, answer := range pending {
			answer(broker.Grant{}, false)
		}
	}
	b.setTargets(nil)
	for i, inst := range b.instances {
		b.clock.After(reportInterval*time.Duration(i)/time.Duration(len(b.instances)), func() { b.reportHolds(inst) })
	}
}

// reportHolds sends a full report of an instance to each broker.
func (b *brokerSource) reportHolds(inst *instance) {
	for _, name := range b.brokerDomains() {
		report := broker.HoldReport{Instance: inst.name(), Whole: true}
		for _, h := range b.held {
			if h.inst == inst && h.domain == name {
				if h.hold.Needs > 0 {
					h.hold.Needs = max(time.Millisecond, h.hold.Needs-b.clock.Now().Sub(h.since))
				}
				report.Held = append(report.Held, h.hold)
			}
		}
		slices.SortFunc(report.Held, func(a, b broker.Hold) int { return cmp.Compare(a.Number, b.Number) })
		b.brokers[name].allocator.ApplyReport(b.clock.Now(), report)
	}
}

func (b *brokerSource) brokerDomains() []string {
	if b.strategy.Ideal {
		return []string{allDomains}
	}
	var names []string
	for i := range b.Domains {
		names = append(names, b.domainOf(i))
	}
	return names
}

// brokerOrder returns the broker domains in the order in which an instance sends its
// requests: its own domain first.
func (b *brokerSource) brokerOrder(inst *instance) []string {
	names := b.brokerDomains()
	for i, name := range names {
		if name == inst.domain {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names
}

// setTargets implements slotSource.
func (b *brokerSource) setTargets(lost map[string]bool) {
	for _, name := range b.brokerDomains() {
		d := b.brokers[name]
		var list []roster.Target
		for _, t := range b.targetList() {
			if !lost[t.ID] && (b.strategy.Ideal || t.Domain == name) {
				list = append(list, t)
			}
		}
		d.allocator.SetTargets(list)
		d.allocate()
	}
}

func (b *brokerSource) brokerDelay(inst *instance, d *domainBroker) time.Duration {
	if b.strategy.Ideal {
		return 0
	}
	return b.messageDelay(inst, d.domain)
}

// requestSlot implements slotSource. It tries the broker of the own domain first, then
// the others, then waits in the queue of the own broker.
func (b *brokerSource) requestSlot(inst *instance, arrived time.Time, granted func(slot, bool)) {
	b.tryBrokers(inst, b.brokerOrder(inst), arrived, granted)
}

func (b *brokerSource) tryBrokers(inst *instance, remaining []string, arrived time.Time, granted func(slot, bool)) {
	wait := time.Duration(0)
	if len(remaining) == 0 {
		remaining, wait = b.brokerOrder(inst)[:1], onlineWait
	}
	d := b.brokers[remaining[0]]
	request := broker.PlaceRequest{Want: onlineRequirements(), OnTimeIn: arrived.Add(objective - answerAllowance).Sub(b.clock.Now()), Age: b.clock.Now().Sub(arrived)}
	if b.strategy.FIFO {
		request.OnTimeIn = time.Hour - request.Age
	}
	b.sendRequest(inst, d, request, wait, func(s slot, ok bool) {
		switch {
		case ok:
			granted(s, true)
		case wait == 0:
			b.tryBrokers(inst, remaining[1:], arrived, granted)
		case b.clock.Now().Sub(arrived) > onlineWaitLimit:
			granted(slot{}, false)
		default:
			b.tryBrokers(inst, b.brokerOrder(inst), arrived, granted)
		}
	})
}

// sendRequest sends a request for a slot to a broker and delivers the reply.
func (b *brokerSource) sendRequest(inst *instance, d *domainBroker, request broker.PlaceRequest, wait time.Duration, answer func(slot, bool)) {
	delay := b.brokerDelay(inst, d)
	b.lastRequest++
	request.Number, request.Instance = b.lastRequest, inst.name()
	b.clock.After(delay, func() {
		d.enqueue(request, wait, func(grant broker.Grant, ok bool) {
			b.clock.After(delay, func() { answer(b.slot(inst, d, &request, grant), ok) })
		})
	})
}

func (inst *instance) name() string { return string(rune('a' + inst.number)) }

// slot returns the slot of a grant.
func (b *brokerSource) slot(inst *instance, d *domainBroker, request *broker.PlaceRequest, grant broker.Grant) slot {
	number := grant.Number
	if number > 0 {
		hold := broker.Hold{
			Number: number, Target: grant.Target.ID, Batch: request.Want.Batch, Due: request.Due, Lasts: request.Lasts,
			Needs: request.Needs, Laxity: request.OnTimeIn,
		}
		b.held[number] = heldSlot{inst: inst, domain: d.domain, hold: hold, since: b.clock.Now()}
	}
	return slot{
		engine: b.engines[grant.Target.ID],
		release: func() {
			delete(b.yieldFuncs, number)
			delete(b.held, number)
			b.clock.After(b.brokerDelay(inst, d), func() {
				d.allocator.ApplyReport(b.clock.Now(), broker.HoldReport{Instance: inst.name(), Released: []uint64{number}})
				d.allocate()
			})
		},
		started: func(yield func() bool) { b.yieldFuncs[number] = yield },
	}
}

// startItems implements slotSource. It keeps at most one request for an item in flight
// to each domain's broker.
func (b *brokerSource) startItems(inst *instance) {
	for _, name := range b.brokerOrder(inst) {
		b.requestItemSlot(inst, name)
	}
}

// requestItemSlot requests a slot for the most urgent item of an instance, unless a
// request to this broker is already in flight. It repeats while items wait.
func (b *brokerSource) requestItemSlot(inst *instance, name string) {
	key := itemRequestKey{inst.number, name}
	it := inst.nextItem()
	if it == nil || b.requesting[key] {
		return
	}
	b.requesting[key] = true
	request := broker.PlaceRequest{
		Want: itemRequirements(), Due: it.deadline.UnixMilli(), OnTimeIn: it.startBy().Sub(b.clock.Now()), Lasts: assumedItemTime,
		Needs: it.needs(),
	}
	b.sendRequest(inst, b.brokers[name], request, itemWait, func(s slot, ok bool) {
		b.requesting[key] = false
		if ok {
			b.startItem(inst, s)
		}
		b.requestItemSlot(inst, name)
	})
}

// enqueue puts a request into the queue for at most the time wait.
func (d *domainBroker) enqueue(request broker.PlaceRequest, wait time.Duration, answer func(broker.Grant, bool)) {
	w := d.allocator.Enqueue(d.clock.Now(), &request)
	d.pending[w] = answer
	d.allocate()
	d.clock.After(wait, func() {
		if d.pending[w] == nil {
			return
		}
		d.allocator.Dequeue(w)
		delete(d.pending, w)
		answer(broker.Grant{}, false)
	})
}

// allocate grants slots to waiting requests. While requests wait, it repeats the
// allocation every pollInterval.
func (d *domainBroker) allocate() {
	for _, a := range d.allocator.Allocate(d.clock.Now()) {
		answer := d.pending[a.Waiter]
		delete(d.pending, a.Waiter)
		answer(a.Grant, true)
		if a.MustYield {
			d.clock.After(d.yieldDelay(), func() {
				if yield := d.yieldFuncs[a.Yield.Number]; yield != nil {
					yield()
				}
			})
		}
	}
	if d.pollScheduled || d.allocator.Waiting() == 0 {
		return
	}
	d.pollScheduled = true
	d.clock.After(pollInterval, func() {
		d.pollScheduled = false
		d.allocate()
	})
}

func (d *domainBroker) yieldDelay() time.Duration {
	if d.strategy.Ideal {
		return 0
	}
	return crossDomainDelay
}
