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

// batchMode is how batch shares the targets with online traffic.
type batchMode int

const (
	noBatch batchMode = iota
	// batchYields is the policy in use.
	batchYields
	// batchStays places batch items up to all slots and takes none back.
	batchStays
	// batchReserve leaves the slots of a burst free all the time.
	batchReserve
)

// servingRun is a load on a whole fleet.
type servingRun struct {
	user   user
	length time.Duration
	batch  batchMode
	online bool
	// bursts are five times the online load for some seconds.
	bursts bool
	// overload is the organisation that sends five times its rate, -1 if none.
	overload int
	// unfair leaves out the rates and queues all organisations as one.
	unfair bool
	// blind shows the routers online calls only.
	blind    bool
	headroom headroom.Settings
}

// Shape of the serving load.
const (
	reportEvery   = time.Second
	reportLag     = time.Second
	capacityEvery = 100 * time.Millisecond
	noticeHop     = 500 * time.Microsecond
	firstDeadline = 2 * time.Second
	// onlineUse is the part of the fleet's slots that online traffic uses.
	onlineUse     = 0.15
	serveBurst    = 5.0
	serveBurstGap = 20 * time.Second
	serveBurstLen = 5 * time.Second
	// rampUp is the time in which a burst reaches its height.
	rampUp = time.Second
	// drainTime is longer than an online request lasts.
	drainTime = 10 * time.Second
	// ratesUse is the part of the fleet's slots that the rates add up to, in
	// the runs that hold organisations to them.
	ratesUse = 0.6
)

// node is one entry instance.
type node struct {
	admission *admission.Core
	router    *routing.Core
	headroom  *headroom.Core
	waiting   map[admission.WaitID]func()
}

type batchItem struct {
	stream *stream
	engine *engine
}

// servingSim drives the real cores of every instance.
type servingSim struct {
	servingRun
	clock   *virtual.Clock
	random  *rand.Rand
	nodes   []*node
	engines []*engine
	byID    map[protocol.TargetID]*engine
	feeders map[protocol.TargetID]protocol.InstanceID
	weights []float64
	rates   *rateFleet
	scale   float64
	placed  map[headroom.SlotID]*batchItem
	// partial are revoked items that wait for a resume.
	partial []*stream
	inside  []*exactBucket
	// countUntil is when requests are counted no more: later ones may not end
	// within the run.
	countUntil time.Time
	result     servingResult
}

// servingResult is what came of a run.
type servingResult struct {
	firstToken, between []float64
	// batchUseful and batchWasted are in tokens; oracle is what free slots
	// could have made.
	batchUseful, batchWasted, oracle float64
	revoked                          int
	// inRate and onTime count the in-rate requests by organisation.
	inRate, onTime []int
	refused        int
}

func (r servingRun) run() servingResult {
	s := &servingSim{
		servingRun: r, clock: virtual.NewClock(), random: rand.New(rand.NewPCG(r.user.seed, 11)),
		byID: map[protocol.TargetID]*engine{}, weights: r.user.balancer(),
		placed: map[headroom.SlotID]*batchItem{},
	}
	s.build()
	s.clock.Run(warmUp)
	s.duties()
	if r.online {
		for i := range r.user.rates {
			s.arrive(i)
		}
	}
	s.countUntil = s.clock.Now().Add(r.length - drainTime)
	s.clock.Run(r.length)
	return s.result
}

func (s *servingSim) build() {
	u := s.user
	s.scale = 1
	capacity := float64(u.targets*slotsPerTarget) / (onlineTokens * tokenTime.Seconds())
	sum := 0.0
	for _, rate := range u.rates {
		sum += rate
	}
	s.scale = capacity * ratesUse / sum
	scaled := u
	scaled.rates = make([]float64, len(u.rates))
	for i, rate := range u.rates {
		scaled.rates[i] = rate * s.scale
		s.inside = append(s.inside, newExactBucket(scaled.organisation(i)))
	}
	s.user = scaled
	s.rates = newRateFleet(scaled, slotPolicy(), s.clock, s.random)
	s.result.inRate, s.result.onTime = make([]int, len(u.rates)), make([]int, len(u.rates))
	s.buildTargets()
	s.buildNodes()
}

func (s *servingSim) buildTargets() {
	for i := range s.user.targets {
		e := &engine{id: protocol.TargetID(fmt.Sprintf("t%02d", i)), domain: s.user.domainOf(i)}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
}

func (s *servingSim) buildNodes() {
	listing := external.Listing{}
	for _, e := range s.engines {
		listing.Targets = append(listing.Targets, external.ListedTarget{
			ID: e.id, Service: s.user.service, Domain: e.domain, Address: string(e.id),
		})
	}
	var members []headroom.Member
	for i := range s.user.instances {
		members = append(members, headroom.Member{Instance: s.user.instance(i), Domain: s.user.domainOf(i)})
		n := &node{
			admission: admission.NewCore(admission.Defaults()),
			router:    routing.NewCore(routing.Options{Domain: s.user.domainOf(i), Seed: uint64(i)}),
			headroom:  headroom.NewCore(s.headroom),
			waiting:   map[admission.WaitID]func(){},
		}
		n.router.SetServices(s.rates.fleet.Services)
		n.router.ApplyListing(s.clock.Now(), listing)
		n.headroom.SyncTargets(s.targets(i))
		s.nodes = append(s.nodes, n)
	}
	s.feeders = headroom.Feeders(s.targets(0), members)
	s.capacities()
}

// targets are all targets as an instance sees them.
func (s *servingSim) targets(i int) []headroom.Target {
	var targets []headroom.Target
	reported := map[protocol.TargetID]routing.Status{}
	if i < len(s.nodes) {
		for _, status := range s.nodes[i].router.Targets(s.clock.Now()) {
			reported[status.Target] = status
		}
	}
	for _, e := range s.engines {
		status := reported[e.id]
		targets = append(targets, headroom.Target{
			ID: e.id, Service: s.user.service, Domain: e.domain, Slots: slotsPerTarget,
			Usable: !status.Ejected, Reported: status.Reported, ReportedAt: status.ReportedAt,
		})
	}
	return targets
}

func (s *servingSim) fed(i int) []headroom.Target {
	var fed []headroom.Target
	for _, t := range s.targets(i) {
		if s.feeders[t.ID] == s.user.instance(i) {
			fed = append(fed, t)
		}
	}
	return fed
}

func (s *servingSim) duties() {
	s.clock.Every(engineStep, s.stepEngines)
	s.clock.Every(capacityEvery, s.capacities)
	s.clock.Every(s.headroom.NoticeInterval, s.notices)
	s.clock.Every(s.headroom.PollInterval, s.windows)
	s.clock.Every(batchLook, s.placeAny)
	s.clock.Every(reportEvery, s.reports)
}

func (s *servingSim) stepEngines() {
	for _, e := range s.engines {
		free := max(0, slotsPerTarget-e.online())
		s.result.oracle += float64(free) * engineStep.Seconds() / tokenTime.Seconds() * oracleShare
		e.step(s.clock.Now())
	}
}

// oracleShare is the part of a batch stream's time that makes tokens.
const oracleShare = float64(batchTokens*tokenTime) / float64(batchTokens*tokenTime+batchPrefill)

func (s *servingSim) reports() {
	for _, e := range s.engines {
		e.history = append(e.history, len(e.streams))
		lag := int(reportLag / reportEvery)
		if len(e.history) <= lag {
			continue
		}
		load := external.Load{Target: e.id, Running: e.history[len(e.history)-1-lag], AgeMS: reportLag.Milliseconds()}
		for _, n := range s.nodes {
			if !s.blind {
				n.router.SetPeerBatchItems(e.id, n.headroom.PeerBatchItems(e.id, s.clock.Now().Add(-reportLag)))
			}
			n.router.ApplyReport(s.clock.Now(), load)
		}
	}
}

func (s *servingSim) capacities() {
	for _, n := range s.nodes {
		capacity := admission.Capacity{Instances: s.user.instances}
		others := 0.0
		for _, status := range n.router.Targets(s.clock.Now()) {
			if status.Ejected {
				continue
			}
			capacity.Slots += slotsPerTarget
			others += status.PeerStreams
		}
		capacity.OtherLoad = int(others)
		n.admission.SetCapacity(s.user.service, capacity)
		s.next(n)
	}
}

func (s *servingSim) next(n *node) {
	for _, id := range n.admission.AdmitWaiting(s.user.service) {
		if run, ok := n.waiting[id]; ok {
			delete(n.waiting, id)
			run()
		}
	}
}

// arrive makes an organisation's online requests.
func (s *servingSim) arrive(org int) {
	rate := s.user.rates[org] * s.use(org)
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	// A long gap is cut, so that a burst that begins meanwhile is noticed.
	if gap > rampUp/4 {
		s.clock.After(rampUp/4, func() { s.arrive(org) })
		return
	}
	s.clock.After(gap, func() {
		s.request(org)
		s.arrive(org)
	})
}

// use is the part of its rate that an organisation sends now.
func (s *servingSim) use(org int) float64 {
	if org == s.overload {
		return overloadUse
	}
	use := onlineUse / ratesUse
	if !s.bursts {
		return use
	}
	at := s.clock.Now().Sub(virtual.Start) % serveBurstGap
	switch {
	case at < rampUp:
		return use * (1 + (serveBurst-1)*float64(at)/float64(rampUp))
	case at < serveBurstLen:
		return use * serveBurst
	default:
		return use
	}
}

func (s *servingSim) request(org int) {
	inRate := s.inside[org].take(s.clock.Now()) && org != s.overload && s.clock.Now().Before(s.countUntil)
	if inRate {
		s.result.inRate[org]++
	}
	at := s.rates.choose(s.weights)
	arrived := s.clock.Now()
	if s.unfair {
		s.enter(at, org, "all", arrived, inRate)
		return
	}
	id := s.user.organisation(org).ID
	s.rates.admit(at, id, func(granted bool) {
		if granted {
			s.enter(at, org, id, arrived, inRate)
		} else {
			s.result.refused++
		}
	})
}

func (s *servingSim) enter(at, org int, queue protocol.OrganisationID, arrived time.Time, inRate bool) {
	n := s.nodes[at]
	decision := n.admission.Enter(s.clock.Now(), admission.Call{
		Organisation: queue, Service: s.user.service, Deadline: arrived.Add(firstDeadline),
	})
	run := func() { s.dispatch(at, org, arrived, inRate) }
	switch {
	case decision.Admitted:
		run()
	case decision.WaitID == 0:
		s.result.refused++
	default:
		n.waiting[decision.WaitID] = run
		s.clock.After(arrived.Add(firstDeadline).Sub(s.clock.Now()), func() {
			if n.admission.Remove(queue, s.user.service, decision.WaitID) {
				delete(n.waiting, decision.WaitID)
				s.result.refused++
			}
		})
	}
}

func (s *servingSim) dispatch(at, org int, arrived time.Time, inRate bool) {
	n := s.nodes[at]
	began := s.clock.Now()
	choice, ok := n.router.Pick(s.clock.Now(), coordination.PickRequest{Service: s.user.service})
	if !ok {
		panic("policybench: no target")
	}
	s.revoke(at, n.headroom.OnlineStarted(s.clock.Now(), choice.Target))
	e := s.byID[choice.Target]
	e.streams = append(e.streams, &stream{
		online: true, arrived: arrived, prefill: onlinePrefill, tokens: onlineTokens,
		ended: func(st *stream) {
			s.onlineEnded(st, org, inRate)
			n.router.Done(s.clock.Now(), choice, coordination.CallResult{FirstByte: st.firstAt.Sub(began)})
			n.headroom.OnlineEnded(choice.Target)
			n.admission.Release(s.user.service, s.clock.Now().Sub(began))
			s.next(n)
		},
	})
}

func (s *servingSim) onlineEnded(st *stream, org int, inRate bool) {
	first := st.firstAt.Sub(st.arrived)
	between := s.clock.Now().Sub(st.firstAt).Seconds() / onlineTokens
	s.result.firstToken = append(s.result.firstToken, first.Seconds())
	s.result.between = append(s.result.between, between)
	if inRate && first <= firstDeadline {
		s.result.onTime[org]++
	}
}
