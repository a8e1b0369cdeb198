package paces

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/pace"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// Parameters of the targets and of the load.
const (
	service        = "s"
	domains        = 4
	targets        = 60
	instances      = 68
	slotsPerTarget = 8
	// firstEventTime and eventGap are the times at a pace of 100. A stream holds its slot for
	// 0.75 s.
	firstEventTime  = 75 * time.Millisecond
	eventGap        = 37500 * time.Microsecond
	eventsPerStream = 19
	objective       = 300 * time.Millisecond
	// waitLimit is the time after which a request without a slot is rejected.
	waitLimit = 2 * time.Second
	// answerAllowance is the part of the objective that is reserved for the first event.
	answerAllowance = 60 * time.Millisecond
	// slowShare is the share of time for which a target is slow, slowPhase the length of one
	// phase, and slowFactor its pace relative to the target's own.
	slowShare  = 0.15
	slowPhase  = 600 * time.Millisecond
	slowFactor = 2.5
	// messageDelay is the one-way delay of messages between instances.
	messageDelay   = 400 * time.Microsecond
	reportInterval = 400 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
	duration       = 12 * time.Second
	// jitter is the largest deviation of the time of one event, as a part of it.
	jitter = 0.25
)

// basePaces are the paces of targets outside of slow phases, in percent.
var basePaces = []int{60, 100, 160}

// Scenario describes a run.
type Scenario struct {
	// Load is the rate of requests as a share of the rate at which all slots are occupied.
	Load float64
	// ReportAge is how long ago a reported pace was measured by the target, which does not say
	// so. ReportsLost is set if no reports of targets reach the instances after the first second,
	// MessagesLost if no paces reach the brokers from then on, and CutDomain if those of the
	// instances of one failure domain don't.
	ReportAge                            time.Duration
	ReportsLost, MessagesLost, CutDomain bool
	// PaceMaxAge is the setting adaptive.pace_max_age. 0: the ranking without paces.
	PaceMaxAge time.Duration
	// NoPace is set if the targets report no paces.
	NoPace bool
}

// Result counts the requests of runs. Late ones got the first event after the objective, or none.
type Result struct {
	Requests, Late, Rejected int
	// PaceMessages are the reports of single paces to brokers.
	PaceMessages int
	// BySpeed counts the requests by the place of the target's base pace in basePaces.
	BySpeed [3]int
	// Order is a checksum of the chosen targets in the order of the choices.
	Order uint64
}

// Add adds the counts of o.
func (r *Result) Add(o Result) {
	r.Requests += o.Requests
	r.Late += o.Late
	r.Rejected += o.Rejected
	r.PaceMessages += o.PaceMessages
	for i := range r.BySpeed {
		r.BySpeed[i] += o.BySpeed[i]
	}
	r.Order = r.Order*31 + o.Order
}

type simulation struct {
	Scenario
	clock *virtual.Clock
	// load determines the arrivals, slow the slow phases. They are separate from what decisions
	// use, so that all scenarios with the same seed have the same ones.
	load, slow, jitter *rand.Rand
	engines            map[string]*engine
	brokers            []*domainBroker
	instances          []*instance
	lastNumber         uint64
	result             Result
}

type engine struct {
	roster.Target
	speed int
	// changes are the times from which a pace has been in effect, in ascending order.
	changes          []change
	running, waiting int
	queue            []func()
}

type change struct {
	at   time.Time
	pace int
}

// paceAt returns the pace at a time.
func (e *engine) paceAt(at time.Time) int {
	for _, c := range slices.Backward(e.changes) {
		if !c.at.After(at) {
			return c.pace
		}
	}
	return e.changes[0].pace
}

type domainBroker struct {
	*simulation
	domain    string
	allocator *broker.SlotAllocator
	pending   map[*broker.Waiter]func(broker.Grant, bool)
	polling   bool
}

type instance struct {
	name    string
	domain  int
	core    *placement.Core
	holds   map[uint64]broker.Hold
	reports *pace.Reports
}

// Simulate runs a scenario.
func Simulate(scenario Scenario, seed uint64) Result {
	s := &simulation{
		Scenario: scenario, clock: virtual.NewClock(), engines: map[string]*engine{},
		load: rand.New(rand.NewPCG(seed, 1)), slow: rand.New(rand.NewPCG(seed, 2)), jitter: rand.New(rand.NewPCG(seed, 4)),
	}
	s.addTargets()
	s.addInstances(rand.New(rand.NewPCG(seed, 3)))
	s.scheduleArrival()
	s.clock.Run(duration + waitLimit)
	return s.result
}

func domainName(i int) string { return fmt.Sprint("d", i) }

func (s *simulation) addTargets() {
	for i := range targets {
		speed := i / domains % len(basePaces)
		e := &engine{speed: speed, Target: roster.Target{
			ID: fmt.Sprint("t", i), Service: service, Domain: domainName(i % domains),
			Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slotsPerTarget,
		}}
		e.changes = []change{{s.clock.Now(), basePaces[speed]}}
		s.engines[e.ID] = e
		s.addSlowPhases(e)
	}
}

// addSlowPhases determines the slow phases of a target, at random moments.
func (s *simulation) addSlowPhases(e *engine) {
	meanPause := float64(slowPhase) * (1 - slowShare) / slowShare
	base := basePaces[e.speed]
	for at := s.clock.Now(); at.Sub(virtual.Start) < 2*duration; {
		at = at.Add(time.Duration(s.slow.ExpFloat64() * meanPause))
		e.changes = append(e.changes, change{at, int(slowFactor * float64(base))})
		at = at.Add(slowPhase)
		e.changes = append(e.changes, change{at, base})
	}
}

func (s *simulation) targetList(domain string) (list []roster.Target) {
	for i := range targets {
		if e := s.engines[fmt.Sprint("t", i)]; domain == "" || e.Domain == domain {
			list = append(list, e.Target)
		}
	}
	return list
}

func (s *simulation) addInstances(random *rand.Rand) {
	newCore := func(domain string) *placement.Core {
		return placement.New(placement.Options{Domain: domain, Random: rand.New(rand.NewPCG(random.Uint64(), 1)), PaceMaxAge: s.PaceMaxAge})
	}
	for i := range domains {
		d := &domainBroker{simulation: s, domain: domainName(i), allocator: broker.NewSlotAllocator(newCore(domainName(i))), pending: map[*broker.Waiter]func(broker.Grant, bool){}}
		d.allocator.SetTargets(s.targetList(d.domain))
		s.brokers = append(s.brokers, d)
	}
	for i := range instances {
		inst := &instance{name: fmt.Sprint("n", i), domain: i % domains, core: newCore(domainName(i % domains)), holds: map[uint64]broker.Hold{}, reports: pace.NewReports()}
		inst.core.SetTargets(s.targetList(""))
		s.instances = append(s.instances, inst)
		offset := time.Duration(random.Int64N(int64(reportInterval)))
		s.clock.After(offset, func() { s.clock.Every(reportInterval, func() { s.sendFullReports(inst) }) })
	}
}

// sendFullReports sends the full reports of an instance to all brokers.
func (s *simulation) sendFullReports(inst *instance) {
	for _, d := range s.brokers {
		report := broker.HoldReport{Instance: inst.name, Whole: true, Paces: inst.core.PaceObservations(s.clock.Now(), d.domain)}
		if s.loses(inst) {
			report.Paces = nil
		}
		for _, h := range inst.holds {
			if s.engines[h.Target].Domain == d.domain {
				report.Held = append(report.Held, h)
			}
		}
		s.clock.After(messageDelay, func() { d.allocator.ApplyReport(s.clock.Now(), report) })
	}
}

// rate returns the requests a second at which all slots are occupied.
func rate() (sum float64) {
	for i := range targets {
		base := float64(basePaces[i/domains%len(basePaces)]) / 100
		hold := (firstEventTime + (eventsPerStream-1)*eventGap).Seconds() * base
		sum += slotsPerTarget / hold * (1 - slowShare + slowShare/slowFactor)
	}
	return sum
}

func (s *simulation) scheduleArrival() {
	s.clock.After(time.Duration(s.load.ExpFloat64()/(rate()*s.Load)*float64(time.Second)), func() {
		if s.clock.Now().Sub(virtual.Start) > duration {
			return
		}
		inst := s.instances[s.load.IntN(len(s.instances))]
		s.result.Requests++
		s.tryBrokers(inst, s.order(inst), s.clock.Now())
		s.scheduleArrival()
	})
}

// order returns the brokers in the order in which an instance asks them.
func (s *simulation) order(inst *instance) (list []*domainBroker) {
	for i := range domains {
		list = append(list, s.brokers[(inst.domain+i)%domains])
	}
	return list
}

func (s *simulation) tryBrokers(inst *instance, left []*domainBroker, arrived time.Time) {
	wait := time.Duration(0)
	if len(left) == 0 {
		left, wait = s.order(inst)[:1], 100*time.Millisecond
	}
	now := s.clock.Now()
	s.lastNumber++
	request := &broker.PlaceRequest{
		Told:   broker.HoldReport{Instance: inst.name},
		Number: s.lastNumber, Want: placement.Requirements{Service: service},
		OnTimeIn: arrived.Add(objective - answerAllowance).Sub(now), Age: now.Sub(arrived),
	}
	s.clock.After(messageDelay, func() {
		left[0].enqueue(request, wait, func(grant broker.Grant, ok bool) {
			s.clock.After(messageDelay, func() {
				switch {
				case ok:
					s.start(inst, left[0], grant, arrived)
				case wait == 0:
					s.tryBrokers(inst, left[1:], arrived)
				case s.clock.Now().Sub(arrived) > waitLimit:
					s.result.Rejected++
					s.result.Late++
				default:
					s.tryBrokers(inst, s.order(inst), arrived)
				}
			})
		})
	})
}

func (d *domainBroker) enqueue(request *broker.PlaceRequest, wait time.Duration, answer func(broker.Grant, bool)) {
	w := d.allocator.Enqueue(d.clock.Now(), request)
	d.pending[w] = answer
	d.allocate()
	d.clock.After(wait, func() {
		if d.pending[w] != nil {
			d.allocator.Dequeue(w)
			delete(d.pending, w)
			answer(broker.Grant{}, false)
		}
	})
}

func (d *domainBroker) allocate() {
	for _, a := range d.allocator.Allocate(d.clock.Now()) {
		answer := d.pending[a.Waiter]
		delete(d.pending, a.Waiter)
		answer(a.Grant, true)
	}
	if d.polling || d.allocator.Waiting() == 0 {
		return
	}
	d.polling = true
	d.clock.After(pollInterval, func() {
		d.polling = false
		d.allocate()
	})
}

// start sends a request to the target of a grant.
func (s *simulation) start(inst *instance, d *domainBroker, grant broker.Grant, arrived time.Time) {
	e := s.engines[grant.Target.ID]
	inst.holds[grant.Number] = broker.Hold{Number: grant.Number, Target: e.ID}
	inst.reports.Stated(e.ID, float64(grant.Pace))
	s.result.BySpeed[e.speed]++
	for _, c := range []byte(e.ID) {
		s.result.Order = s.result.Order*1099511628211 + uint64(c)
	}
	sent := s.clock.Now()
	run := func() {
		e.running++
		s.event(e, firstEventTime, func() {
			now := s.clock.Now()
			if now.Sub(arrived) > objective {
				s.result.Late++
			}
			s.observe(inst, d, e, grant, now.Sub(sent))
			s.remaining(inst, d, e, grant, 1)
		})
	}
	if e.running >= slotsPerTarget {
		e.waiting++
		e.queue = append(e.queue, run)
		return
	}
	run()
}

// observe handles the head of an answer and its first event.
func (s *simulation) observe(inst *instance, d *domainBroker, e *engine, grant broker.Grant, took time.Duration) {
	now := s.clock.Now()
	load := exchange.Load{Running: e.running, Waiting: e.waiting, Slots: slotsPerTarget, Pace: e.paceAt(now.Add(-s.ReportAge))}
	if s.NoPace || s.ReportsLost && s.lossBegan() {
		load.Pace = 0
	}
	inst.core.ApplyLoad(now, e.ID, load)
	inst.core.Observe(now, e.ID, pace.FirstEvent, took)
	s.reportPace(inst, d, e, float64(min(load.Pace, pace.MaxPace)), false)
}

// lossBegan reports whether messages are lost now in the scenarios in which some are.
func (s *simulation) lossBegan() bool { return s.clock.Now().Sub(virtual.Start) > time.Second }

// loses reports whether the paces that an instance sends are lost now.
func (s *simulation) loses(inst *instance) bool {
	return (s.MessagesLost || s.CutDomain && inst.domain == 0) && s.lossBegan()
}

// reportPace tells a broker about a pace that differs much from what it knows. observed is set if
// the pace is by observed times, not the target's report.
func (s *simulation) reportPace(inst *instance, d *domainBroker, e *engine, percent float64, observed bool) {
	if _, due := inst.reports.Due(s.clock.Now(), e.ID, percent); !due {
		return
	}
	s.result.PaceMessages++
	if s.loses(inst) {
		return
	}
	s.clock.After(messageDelay, func() {
		d.allocator.MergePace(s.clock.Now(), pace.Observation{Target: e.ID, Percent: int(percent), Observed: observed})
	})
}

// remaining produces the events of a stream after the first ones.
func (s *simulation) remaining(inst *instance, d *domainBroker, e *engine, grant broker.Grant, events int) {
	if events == eventsPerStream {
		s.end(inst, d, e, grant)
		return
	}
	from := s.clock.Now()
	s.event(e, eventGap, func() {
		if percent := inst.core.Observe(s.clock.Now(), e.ID, pace.EventGap, s.clock.Now().Sub(from)); percent > 0 {
			s.reportPace(inst, d, e, percent, true)
		}
		s.remaining(inst, d, e, grant, events+1)
	})
}

// event calls then when a target has done an amount of work, given as the time at a pace of 100.
func (s *simulation) event(e *engine, work time.Duration, then func()) {
	left := work.Seconds() * (1 + jitter*(2*s.jitter.Float64()-1))
	now := s.clock.Now()
	at := now
	for i, c := range e.changes {
		last := i+1 == len(e.changes)
		if !last && !e.changes[i+1].at.After(at) {
			continue
		}
		need := left * float64(c.pace) / 100
		if last || need <= e.changes[i+1].at.Sub(at).Seconds() {
			at = at.Add(time.Duration(need * float64(time.Second)))
			break
		}
		left -= e.changes[i+1].at.Sub(at).Seconds() * 100 / float64(c.pace)
		at = e.changes[i+1].at
	}
	s.clock.After(at.Sub(now), then)
}

func (s *simulation) end(inst *instance, d *domainBroker, e *engine, grant broker.Grant) {
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.waiting--
		next()
	}
	delete(inst.holds, grant.Number)
	s.clock.After(messageDelay, func() {
		d.allocator.ApplyReport(s.clock.Now(), broker.HoldReport{Instance: inst.name, Released: []uint64{grant.Number}})
		d.allocate()
	})
}
