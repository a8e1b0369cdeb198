package slots

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/policybench/virtual"
)

const (
	// sameDomainDelay and crossDomainDelay are the one-way message delays within a
	// failure domain and between two, including the processing at both ends.
	sameDomainDelay  = 150 * time.Microsecond
	crossDomainDelay = 600 * time.Microsecond
	// onlineWaitLimit is the time after which a request without a slot is rejected.
	onlineWaitLimit = 2 * time.Second
	// answerAllowance is the part of the objective reserved for transmitting the
	// answer.
	answerAllowance = 60 * time.Millisecond
	// assumedItemTime is the run time assumed for a whole item when its latest start
	// is computed.
	assumedItemTime = 5 * time.Second
	// retryDelay is the time that an item waits after it has yielded or failed to
	// start.
	retryDelay = 60 * time.Millisecond
	// lossDetectionTime is the time from the loss of a target until the instances
	// stop using it.
	lossDetectionTime = 500 * time.Millisecond
)

// Result has the counts of one or more runs.
type Result struct {
	// Requests counts the online requests: OnTime those whose first event arrived
	// within the objective, Late the others that were served, Rejected those that
	// got no slot or found the queue of the engine full.
	Requests, OnTime, Late, Rejected int
	// Items counts the batch items submitted, ItemsOnTime those that ended before
	// their deadline. Runs counts the runs of all items; an item that yields runs
	// again.
	Items, ItemsOnTime, Runs int
	// Jobs counts the jobs submitted, JobsOnTime those whose items all ended before the
	// deadline. Results counts the items that ended, Yields the runs that were preempted.
	Jobs, JobsOnTime, Results, Yields int
}

// Add adds the counts of o.
func (r *Result) Add(o Result) {
	r.Requests += o.Requests
	r.OnTime += o.OnTime
	r.Late += o.Late
	r.Rejected += o.Rejected
	r.Items += o.Items
	r.ItemsOnTime += o.ItemsOnTime
	r.Runs += o.Runs
	r.Jobs += o.Jobs
	r.JobsOnTime += o.JobsOnTime
	r.Results += o.Results
	r.Yields += o.Yields
}

// OnTimeShare returns the share of requests served within the objective, 0 to 1.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(1, r.Requests)) }

// ItemsOnTimeShare returns the share of items that ended before their deadline, 0 to 1.
func (r Result) ItemsOnTimeShare() float64 { return float64(r.ItemsOnTime) / float64(max(1, r.Items)) }

// JobsOnTimeShare returns the share of jobs that ended before their deadline, 0 to 1.
func (r Result) JobsOnTimeShare() float64 { return float64(r.JobsOnTime) / float64(max(1, r.Jobs)) }

// YieldsPerResult returns the number of preempted runs for each item that ended.
func (r Result) YieldsPerResult() float64 { return float64(r.Yields) / float64(max(1, r.Results)) }

// simulation is the state of one run.
type simulation struct {
	Deployment
	Scenario
	clock      *virtual.Clock
	random     *rand.Rand
	engines    map[string]*engine
	instances  []*instance
	slotSource slotSource
	result     Result
}

// slotSource decides which request and which item gets which slot.
type slotSource interface {
	// requestSlot tries to get a slot for a request. It calls granted exactly once,
	// with ok false if the request is rejected.
	requestSlot(inst *instance, arrived time.Time, granted func(s slot, ok bool))
	// startItems starts waiting items of an instance while there are slots.
	startItems(inst *instance)
	// setTargets sets the usable targets: all but the lost ones.
	setTargets(lost map[string]bool)
}

// slot is a granted slot of an engine. release frees the slot.
type slot struct {
	engine  *engine
	release func()
	// started registers the yield function of a started item. yield returns false if
	// the item has already ended. started may be nil.
	started func(yield func() bool)
}

// instance is one instance with its waiting batch items.
type instance struct {
	number       int
	domain       string
	waitingItems []*item
}

// item is a batch item. events is the length of its output, produced the part
// generated so far.
type item struct {
	deadline         time.Time
	events, produced int
	job              *job
}

// job is a batch job of some items that have not ended yet.
type job struct {
	open     int
	deadline time.Time
	measured bool
}

// Simulate runs one simulation with a strategy of allocating slots.
func Simulate(d Deployment, scenario Scenario, strategy Strategy, seed uint64) Result {
	sim := &simulation{
		Deployment: d, Scenario: scenario, clock: virtual.NewClock(), random: rand.New(rand.NewPCG(seed, 17)),
		engines: map[string]*engine{},
	}
	for _, target := range d.targetList() {
		sim.engines[target.ID] = &engine{clock: sim.clock, id: target.ID, domain: target.Domain, stepFactor: cmp.Or(d.StepFactor, 1)}
	}
	for i := range d.Instances {
		sim.instances = append(sim.instances, &instance{number: i, domain: d.domainOf(i)})
	}
	sim.slotSource = strategy.newSlotSource(sim)
	sim.slotSource.setTargets(nil)
	sim.scheduleArrivals(sim.RequestsPerSecond, func(at time.Duration) float64 { return sim.onlineFactor(at) }, sim.submitRequest)
	sim.scheduleArrivals(sim.Deployment.JobsPerSecond, sim.Scenario.jobFactor, sim.submitJob)
	sim.scheduleTargetLoss()
	sim.clock.Run(scenario.duration() + finishDuration)
	return sim.result
}

// scheduleArrivals calls arrive at random times, at a rate that varies by factor. Arrival
// times are drawn at the highest rate, and some of them are discarded.
func (sim *simulation) scheduleArrivals(perSecond float64, factor func(at time.Duration) float64, arrive func()) {
	at := sim.clock.Now().Sub(virtual.Start)
	if at >= sim.duration() {
		return
	}
	// maxFactor is higher than every factor of a run.
	const maxFactor = 10.0
	gap := time.Duration(sim.random.ExpFloat64() / (perSecond * maxFactor) * float64(time.Second))
	sim.clock.After(gap, func() {
		if sim.random.Float64() < factor(sim.clock.Now().Sub(virtual.Start))/maxFactor {
			arrive()
		}
		sim.scheduleArrivals(perSecond, factor, arrive)
	})
}

// scheduleTargetLoss makes LostTargets targets unreachable from second 26 to 31. The
// targets return without running or queued requests.
func (sim *simulation) scheduleTargetLoss() {
	const at, duration = 26 * time.Second, 5 * time.Second
	lost := map[string]bool{}
	for i := range sim.LostTargets {
		lost[fmt.Sprint("t", i)] = true
	}
	sim.clock.After(at, func() {
		for id := range lost {
			sim.engines[id].fail()
		}
	})
	sim.clock.After(at+lossDetectionTime, func() { sim.slotSource.setTargets(lost) })
	sim.clock.After(at+duration, func() {
		for id := range lost {
			sim.engines[id].lost = false
		}
		sim.slotSource.setTargets(nil)
	})
}

func (sim *simulation) messageDelay(inst *instance, domain string) time.Duration {
	if inst.domain == domain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// submitRequest sends one online request to a random instance.
func (sim *simulation) submitRequest() {
	inst := sim.instances[sim.random.IntN(len(sim.instances))]
	arrived := sim.clock.Now()
	length := randomLength(sim.random, cmp.Or(sim.RequestEvents, meanRequestEvents))
	measured := sim.measuring()
	if measured {
		sim.result.Requests++
	}
	sim.slotSource.requestSlot(inst, arrived, func(s slot, ok bool) {
		if !ok {
			sim.count(&sim.result.Rejected, measured)
			return
		}
		sim.sendToEngine(inst, s, arrived, length, measured)
	})
}

// sendToEngine sends a request to the engine of its slot and counts the time to the
// first event.
func (sim *simulation) sendToEngine(inst *instance, s slot, arrived time.Time, length int, measured bool) {
	delay := sim.messageDelay(inst, s.engine.domain)
	served := false
	r := &engineRequest{online: true, events: length, unreadTokens: promptTokens, onEnd: s.release}
	r.onEvent = func() {
		if served {
			return
		}
		served = true
		if sim.clock.Now().Add(delay).Sub(arrived) <= objective {
			sim.count(&sim.result.OnTime, measured)
		} else {
			sim.count(&sim.result.Late, measured)
		}
	}
	sim.clock.After(delay, func() {
		if !s.engine.offer(r) {
			sim.count(&sim.result.Rejected, measured)
			s.release()
		}
		if s.engine.lost {
			sim.clock.After(objective, s.release)
		}
	})
}

// submitJob submits a batch job to a random instance.
func (sim *simulation) submitJob() {
	inst := sim.instances[sim.random.IntN(len(sim.instances))]
	j := &job{open: itemsPerJob, deadline: sim.clock.Now().Add(jobDeadline), measured: sim.measuring()}
	sim.count(&sim.result.Jobs, j.measured)
	for range itemsPerJob {
		sim.count(&sim.result.Items, j.measured)
		inst.waitingItems = append(inst.waitingItems, &item{deadline: j.deadline, events: randomLength(sim.random, cmp.Or(sim.ItemEvents, meanItemEvents)), job: j})
	}
	sim.slotSource.startItems(inst)
}

// nextItem returns the waiting item with the earliest deadline, nil if none waits.
func (inst *instance) nextItem() *item {
	if len(inst.waitingItems) == 0 {
		return nil
	}
	first := inst.waitingItems[0]
	for _, it := range inst.waitingItems {
		if it.deadline.Before(first.deadline) {
			first = it
		}
	}
	return first
}

// startBy returns the latest time at which the rest of the item can be started to end
// before its deadline.
func (it *item) startBy() time.Time {
	return it.deadline.Add(-it.needs())
}

// needs returns the run time expected for the rest of the item.
func (it *item) needs() time.Duration {
	remaining := float64(it.events-it.produced) / float64(it.events)
	return time.Duration(remaining * float64(assumedItemTime))
}

// startItem runs the most urgent item of an instance in a slot.
func (sim *simulation) startItem(inst *instance, s slot) {
	it := inst.nextItem()
	if it == nil {
		s.release()
		return
	}
	inst.waitingItems = without(inst.waitingItems, it)
	sim.count(&sim.result.Runs, sim.measuring())
	r := &engineRequest{events: it.events - it.produced, unreadTokens: promptTokens + it.produced*tokensPerEvent}
	r.onEvent = func() { it.produced++ }
	r.onEnd = func() {
		s.release()
		sim.finishItem(it)
	}
	requeue := func(after time.Duration) {
		s.engine.remove(r)
		s.release()
		sim.clock.After(after, func() {
			inst.waitingItems = append(inst.waitingItems, it)
			sim.slotSource.startItems(inst)
		})
	}
	if s.started != nil {
		s.started(func() bool {
			if r.removed {
				return false
			}
			sim.count(&sim.result.Yields, sim.measuring())
			requeue(retryDelay)
			return true
		})
	}
	sim.clock.After(sim.messageDelay(inst, s.engine.domain)+connectTime, func() {
		switch {
		case r.removed:
		case s.engine.lost:
			sim.clock.After(objective, func() { requeue(retryDelay) })
		case !s.engine.offer(r):
			requeue(retryDelay)
		}
	})
}

// measuring reports whether what begins now is counted.
func (sim *simulation) measuring() bool {
	return sim.clock.Now().Sub(virtual.Start) >= sim.MeasureFrom
}

// count increments a count of the result if what it counts is measured.
func (sim *simulation) count(n *int, measured bool) {
	if measured {
		*n++
	}
}

// finishItem counts an item that ended, and its job if it was the last one.
func (sim *simulation) finishItem(it *item) {
	onTime := !sim.clock.Now().After(it.deadline)
	sim.count(&sim.result.Results, sim.measuring())
	sim.count(&sim.result.ItemsOnTime, onTime && it.job.measured)
	it.job.open--
	sim.count(&sim.result.JobsOnTime, onTime && it.job.open == 0 && it.job.measured)
}

func without(list []*item, it *item) []*item {
	out := list[:0]
	for _, other := range list {
		if other != it {
			out = append(out, other)
		}
	}
	return out
}

func onlineRequirements() placement.Requirements { return placement.Requirements{Service: service} }

func itemRequirements() placement.Requirements {
	return placement.Requirements{Service: service, Batch: true}
}
