package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/admission"
	"merlintiller/internal/coordination/headroom"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/external"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// batchMode selects how batch items share the targets with online traffic.
type batchMode int

const (
	noBatch batchMode = iota
	// batchPreemptible is the current policy: batch items yield to online requests.
	batchPreemptible
	// batchNonPreemptible places batch items on all free slots and never revokes
	// them.
	batchNonPreemptible
	// batchFixedReserve always leaves enough slots free for an online burst.
	batchFixedReserve
)

// servingRun configures a simulation of a whole fleet under load.
type servingRun struct {
	deployment deployment
	length     time.Duration
	batch      batchMode
	online     bool
	// bursts adds periodic bursts, see servingBurstFactor, to the online load.
	bursts bool
	// overload is the index of the organisation that sends five times its rate
	// (overloadFactor), -1 for none.
	overload int
	// singleQueue disables rate limits and puts all organisations into one queue.
	singleQueue bool
	// hidePeerBatch hides the batch items of other instances from the routers.
	hidePeerBatch bool
	headroom      headroom.Settings
}

// Parameters of the serving load.
const (
	reportInterval     = time.Second
	reportDelay        = time.Second
	capacityInterval   = 100 * time.Millisecond
	noticeDelay        = 500 * time.Microsecond
	firstTokenDeadline = 2 * time.Second
	// onlineSlotShare is the part of the fleet's slots that online traffic uses
	// outside bursts.
	onlineSlotShare    = 0.15
	servingBurstFactor = 5.0
	servingBurstPeriod = 20 * time.Second
	servingBurstLength = 5 * time.Second
	// burstRampUp is the time that a burst takes to reach its full load.
	burstRampUp = time.Second
	// uncountedTail is the part at the end of a run whose requests are not
	// counted. It is longer than an online request takes.
	uncountedTail = 10 * time.Second
	// rateSlotShare is the part of the fleet's slots that the rates of all
	// organisations add up to.
	rateSlotShare = 0.6
)

// instance has the decision cores of one instance.
type instance struct {
	admission *admission.Core
	router    *routing.Core
	headroom  *headroom.Core
	waiting   map[admission.WaitID]func()
}

type batchItem struct {
	stream *stream
	engine *engine
}

// servingSim runs the production decision cores of every instance.
type servingSim struct {
	servingRun
	clock       *virtual.Clock
	random      *rand.Rand
	instances   []*instance
	engines     []*engine
	enginesByID map[protocol.TargetID]*engine
	// feeders maps each target to the instance that places batch items on it.
	feeders map[protocol.TargetID]protocol.InstanceID
	// weights are those of the load balancer.
	weights []float64
	rates   *rateFleet
	// rateScale multiplies the rates of the deployment so that they add up to
	// rateSlotShare.
	rateScale float64
	placed    map[headroom.SlotID]*batchItem
	// resumable are the revoked items that wait to be resumed.
	resumable []*stream
	// inRateBuckets decide which requests are within the rate of their organisation.
	inRateBuckets []*tokenBucket
	// countedUntil is the time from which requests are not counted any more,
	// because they may not end within the run.
	countedUntil time.Time
	result       servingResult
}

// servingResult has the measurements of one run.
type servingResult struct {
	// firstToken and betweenTokens have one value in seconds for each online
	// request.
	firstToken, betweenTokens []float64
	// batchUseful and batchWasted are in tokens. oracle is the number of batch
	// tokens that all slots free of online streams could have generated.
	batchUseful, batchWasted, oracle float64
	revokedItems                     int
	// inRate counts the in-rate requests of each organisation, onTime those of
	// them whose first token arrived within firstTokenDeadline.
	inRate, onTime []int
	rejected       int
}

func (r servingRun) run() servingResult {
	s := &servingSim{
		servingRun: r, clock: virtual.NewClock(), random: rand.New(rand.NewPCG(r.deployment.seed, 11)),
		enginesByID: map[protocol.TargetID]*engine{}, weights: r.deployment.balancerWeights(),
		placed: map[headroom.SlotID]*batchItem{},
	}
	s.build()
	s.clock.Run(warmUp)
	s.startPeriodicTasks()
	if r.online {
		for i := range r.deployment.rates {
			s.scheduleArrival(i)
		}
	}
	s.countedUntil = s.clock.Now().Add(r.length - uncountedTail)
	s.clock.Run(r.length)
	return s.result
}

func (s *servingSim) build() {
	d := s.deployment
	s.rateScale = 1
	capacity := float64(d.targets*slotsPerTarget) / (onlineTokens * tokenTime.Seconds())
	sum := 0.0
	for _, rate := range d.rates {
		sum += rate
	}
	s.rateScale = capacity * rateSlotShare / sum
	scaled := d
	scaled.rates = make([]float64, len(d.rates))
	for i, rate := range d.rates {
		scaled.rates[i] = rate * s.rateScale
		s.inRateBuckets = append(s.inRateBuckets, newTokenBucket(scaled.organisation(i)))
	}
	s.deployment = scaled
	s.rates = newRateFleet(scaled, slotPolicy(), s.clock, s.random)
	s.result.inRate, s.result.onTime = make([]int, len(d.rates)), make([]int, len(d.rates))
	s.buildTargets()
	s.buildInstances()
}

func (s *servingSim) buildTargets() {
	for i := range s.deployment.targets {
		e := &engine{id: protocol.TargetID(fmt.Sprintf("t%02d", i)), domain: s.deployment.domainOf(i)}
		s.engines = append(s.engines, e)
		s.enginesByID[e.id] = e
	}
}

func (s *servingSim) buildInstances() {
	listing := external.Listing{}
	for _, e := range s.engines {
		listing.Targets = append(listing.Targets, external.ListedTarget{
			ID: e.id, Service: s.deployment.service, Domain: e.domain, Address: string(e.id),
		})
	}
	var members []headroom.Member
	for i := range s.deployment.instances {
		members = append(members, headroom.Member{Instance: s.deployment.instanceID(i), Domain: s.deployment.domainOf(i)})
		inst := &instance{
			admission: admission.NewCore(admission.Defaults()),
			router:    routing.NewCore(routing.Options{Domain: s.deployment.domainOf(i), Seed: uint64(i)}),
			headroom:  headroom.NewCore(s.headroom),
			waiting:   map[admission.WaitID]func(){},
		}
		inst.router.SetServices(s.rates.fleet.Services)
		inst.router.ApplyListing(s.clock.Now(), listing)
		inst.headroom.SyncTargets(s.targets(i))
		s.instances = append(s.instances, inst)
	}
	s.feeders = headroom.Feeders(s.targets(0), members)
	s.updateCapacities()
}

// targets returns all targets with the load reports that an instance knows.
func (s *servingSim) targets(i int) []headroom.Target {
	var targets []headroom.Target
	reported := map[protocol.TargetID]routing.Status{}
	if i < len(s.instances) {
		for _, status := range s.instances[i].router.Targets(s.clock.Now()) {
			reported[status.Target] = status
		}
	}
	for _, e := range s.engines {
		status := reported[e.id]
		targets = append(targets, headroom.Target{
			ID: e.id, Service: s.deployment.service, Domain: e.domain, Slots: slotsPerTarget,
			Usable: !status.Ejected, Reported: status.Reported, ReportedAt: status.ReportedAt,
		})
	}
	return targets
}

// fedTargets returns the targets that an instance feeds with batch items.
func (s *servingSim) fedTargets(i int) []headroom.Target {
	var fed []headroom.Target
	for _, t := range s.targets(i) {
		if s.feeders[t.ID] == s.deployment.instanceID(i) {
			fed = append(fed, t)
		}
	}
	return fed
}

func (s *servingSim) startPeriodicTasks() {
	s.clock.Every(engineStep, s.stepEngines)
	s.clock.Every(capacityInterval, s.updateCapacities)
	s.clock.Every(s.headroom.NoticeInterval, s.sendNotices)
	s.clock.Every(s.headroom.PollInterval, s.updateWindows)
	s.clock.Every(placementInterval, s.placeOnAllInstances)
	s.clock.Every(reportInterval, s.applyReports)
}

func (s *servingSim) stepEngines() {
	for _, e := range s.engines {
		free := max(0, slotsPerTarget-e.onlineStreams())
		s.result.oracle += float64(free) * engineStep.Seconds() / tokenTime.Seconds() * batchDecodeShare
		e.step(s.clock.Now())
	}
}

// batchDecodeShare is the part of a batch stream's run time in which it generates
// tokens; the rest is prefill.
const batchDecodeShare = float64(batchTokens*tokenTime) / float64(batchTokens*tokenTime+batchPrefill)

// applyReports sends the load of each target, reportDelay late, to all routers.
func (s *servingSim) applyReports() {
	for _, e := range s.engines {
		e.streamHistory = append(e.streamHistory, len(e.streams))
		lag := int(reportDelay / reportInterval)
		if len(e.streamHistory) <= lag {
			continue
		}
		load := external.Load{Target: e.id, Running: e.streamHistory[len(e.streamHistory)-1-lag], AgeMS: reportDelay.Milliseconds()}
		for _, inst := range s.instances {
			if !s.hidePeerBatch {
				inst.router.SetPeerBatchItems(e.id, inst.headroom.PeerBatchItems(e.id, s.clock.Now().Add(-reportDelay)))
			}
			inst.router.ApplyReport(s.clock.Now(), load)
		}
	}
}

// updateCapacities gives each admission core the capacity known to its router.
func (s *servingSim) updateCapacities() {
	for _, inst := range s.instances {
		capacity := admission.Capacity{Instances: s.deployment.instances}
		otherLoad := 0.0
		for _, status := range inst.router.Targets(s.clock.Now()) {
			if status.Ejected {
				continue
			}
			capacity.Slots += slotsPerTarget
			otherLoad += status.PeerStreams
		}
		capacity.OtherLoad = int(otherLoad)
		inst.admission.SetCapacity(s.deployment.service, capacity)
		s.admitWaiting(inst)
	}
}

// admitWaiting dispatches the queued requests that can now be admitted.
func (s *servingSim) admitWaiting(inst *instance) {
	for _, id := range inst.admission.AdmitWaiting(s.deployment.service) {
		if dispatch, ok := inst.waiting[id]; ok {
			delete(inst.waiting, id)
			dispatch()
		}
	}
}

// scheduleArrival schedules the next online request of an organisation.
func (s *servingSim) scheduleArrival(org int) {
	rate := s.deployment.rates[org] * s.rateFraction(org)
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	// A long gap is split, so that a burst that begins during the gap takes effect.
	if gap > burstRampUp/4 {
		s.clock.After(burstRampUp/4, func() { s.scheduleArrival(org) })
		return
	}
	s.clock.After(gap, func() {
		s.request(org)
		s.scheduleArrival(org)
	})
}

// rateFraction returns the part of its rate that an organisation sends at the
// current time.
func (s *servingSim) rateFraction(org int) float64 {
	if org == s.overload {
		return overloadFactor
	}
	fraction := onlineSlotShare / rateSlotShare
	if !s.bursts {
		return fraction
	}
	at := s.clock.Now().Sub(virtual.Start) % servingBurstPeriod
	switch {
	case at < burstRampUp:
		return fraction * (1 + (servingBurstFactor-1)*float64(at)/float64(burstRampUp))
	case at < servingBurstLength:
		return fraction * servingBurstFactor
	default:
		return fraction
	}
}

func (s *servingSim) request(org int) {
	inRate := s.inRateBuckets[org].take(s.clock.Now()) && org != s.overload && s.clock.Now().Before(s.countedUntil)
	if inRate {
		s.result.inRate[org]++
	}
	at := s.rates.chooseInstance(s.weights)
	arrived := s.clock.Now()
	if s.singleQueue {
		s.requestAdmission(at, org, "all", arrived, inRate)
		return
	}
	id := s.deployment.organisation(org).ID
	s.rates.admit(at, id, func(granted bool) {
		if granted {
			s.requestAdmission(at, org, id, arrived, inRate)
		} else {
			s.result.rejected++
		}
	})
}

// requestAdmission passes a request to the admission core of an instance and
// dispatches the request once admitted.
func (s *servingSim) requestAdmission(at, org int, queue protocol.OrganisationID, arrived time.Time, inRate bool) {
	inst := s.instances[at]
	decision := inst.admission.Enter(s.clock.Now(), admission.Call{
		Organisation: queue, Service: s.deployment.service, Deadline: arrived.Add(firstTokenDeadline),
	})
	dispatch := func() { s.dispatch(at, org, arrived, inRate) }
	switch {
	case decision.Admitted:
		dispatch()
	case decision.WaitID == 0:
		s.result.rejected++
	default:
		inst.waiting[decision.WaitID] = dispatch
		s.clock.After(arrived.Add(firstTokenDeadline).Sub(s.clock.Now()), func() {
			if inst.admission.Remove(queue, s.deployment.service, decision.WaitID) {
				delete(inst.waiting, decision.WaitID)
				s.result.rejected++
			}
		})
	}
}

// dispatch routes an admitted request to a target and starts its stream there.
func (s *servingSim) dispatch(at, org int, arrived time.Time, inRate bool) {
	inst := s.instances[at]
	dispatched := s.clock.Now()
	choice, ok := inst.router.Pick(s.clock.Now(), coordination.PickRequest{Service: s.deployment.service})
	if !ok {
		panic("policybench: router found no usable target")
	}
	s.revoke(at, inst.headroom.OnlineStarted(s.clock.Now(), choice.Target))
	e := s.enginesByID[choice.Target]
	e.streams = append(e.streams, &stream{
		online: true, arrived: arrived, prefill: onlinePrefill, tokens: onlineTokens,
		onEnd: func(st *stream) {
			s.onlineEnded(st, org, inRate)
			inst.router.Done(s.clock.Now(), choice, coordination.CallResult{FirstByte: st.firstAt.Sub(dispatched)})
			inst.headroom.OnlineEnded(choice.Target)
			inst.admission.Release(s.deployment.service, s.clock.Now().Sub(dispatched))
			s.admitWaiting(inst)
		},
	})
}

func (s *servingSim) onlineEnded(st *stream, org int, inRate bool) {
	first := st.firstAt.Sub(st.arrived)
	betweenTokens := s.clock.Now().Sub(st.firstAt).Seconds() / onlineTokens
	s.result.firstToken = append(s.result.firstToken, first.Seconds())
	s.result.betweenTokens = append(s.result.betweenTokens, betweenTokens)
	if inRate && first <= firstTokenDeadline {
		s.result.onTime[org]++
	}
}
