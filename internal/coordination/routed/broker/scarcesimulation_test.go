package broker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/state/roster"
)

var scarceSeeds = flag.Int("scarce-seeds", 1, "seeds of TestScarceSlotsAreDividedByWeight")

// Parameters of the simulated peaks.
const (
	peakPeriod, peakLength = 6 * time.Second, 2400 * time.Millisecond
	simulatedPeriods       = 4
	// troughFactor is the load between two peaks, as a part of that at a peak.
	troughFactor  = 0.39 / 1.91
	streamTime    = 750 * time.Millisecond
	testObjective = 300 * time.Millisecond
	sendAllowance = 60 * time.Millisecond
	longestWait   = 2 * time.Second
	rejectWithin  = testObjective / 4
	// answerMargin is the part of rejectWithin for sending the rejection to the caller.
	answerMargin  = 10 * time.Millisecond
	messageDelay  = 600 * time.Microsecond
	organisations = 77
)

// scarceLoad describes a load on a fleet of four failure domains.
type scarceLoad struct {
	targetsPerDomain int
	// hot is the number of the organisation at five times its rate. Those below largeOnes have
	// largeShare of the load each.
	hot       int
	capacity  float64
	fairQueue bool
	seed      uint64
	// lostTargets makes one domain lose half of its targets during the third peak.
	lostTargets bool
}

const (
	largeOnes  = 4
	largeShare = 0.08
	hotFactor  = 5
)

func shareOf(organisation int) float64 {
	if organisation < largeOnes {
		return largeShare
	}
	return (1 - largeOnes*largeShare) / (organisations - largeOnes)
}

// usage counts the requests of one organisation.
type usage struct {
	// All but retried and retriedOnTime count first tries. rejected were rejected within
	// rejectWithin, held were held longer and not served.
	offered, onTime, late, rejected, held int
	// rejectedWhileFree were rejected although an allocator had a free slot.
	rejectedWhileFree int
	// entitled is the sum over the peaks of the offered requests, but at most the share of the
	// slots, and entitledOnTime those of them that were on time.
	entitled, entitledOnTime float64
	peakOffered, peakOnTime  map[int]int
	retriedOnTime, retried   int
}

// scarceSimulation runs allocators in virtual time, with the steps of Client.Place.
type scarceSimulation struct {
	scarceLoad
	clock   *virtual.Clock
	random  *rand.Rand
	domains []*SlotAllocator
	answers []map[*Waiter]func(granted bool)
	usage   [organisations]usage
	number  uint64
	// freeSince is since when each allocator has had a free slot, zero if it has none.
	freeSince []time.Time
}

func simulateScarcity(load scarceLoad) *scarceSimulation {
	s := &scarceSimulation{scarceLoad: load, clock: virtual.NewClock(), random: rand.New(rand.NewPCG(load.seed, 3))}
	for d := range 4 {
		a := NewSlotAllocator(placement.New(placement.Options{Domain: fmt.Sprint("d", d), Random: rand.New(rand.NewPCG(load.seed, uint64(d)))}))
		if load.fairQueue {
			a.EnableFairQueue()
		}
		s.domains = append(s.domains, a)
		s.answers = append(s.answers, map[*Waiter]func(bool){})
		s.freeSince = append(s.freeSince, virtual.Start)
		s.setTargets(d, load.targetsPerDomain)
	}
	for o := range s.usage {
		s.usage[o].peakOffered, s.usage[o].peakOnTime = map[int]int{}, map[int]int{}
	}
	if load.lostTargets {
		s.clock.After(3*peakPeriod-time.Second, func() { s.setTargets(3, load.targetsPerDomain/2) })
	}
	slots := float64(4 * 8 * load.targetsPerDomain)
	total := load.capacity * slots / streamTime.Seconds()
	normal := total / (1 + (hotFactor-1)*shareOf(load.hot))
	for o := range organisations {
		rate := normal * shareOf(o)
		if o == load.hot {
			rate *= hotFactor
		}
		s.scheduleArrivals(o, rate)
	}
	s.clock.Run(simulatedPeriods*peakPeriod + 5*time.Second)
	for o := range s.usage {
		u := &s.usage[o]
		for peak, offered := range u.peakOffered {
			entitled := min(float64(offered), shareOf(o)*slots/streamTime.Seconds()*peakLength.Seconds())
			u.entitled += entitled
			u.entitledOnTime += min(entitled, float64(u.peakOnTime[peak]))
		}
	}
	return s
}

func (s *scarceSimulation) setTargets(domain, count int) {
	var list []roster.Target
	for t := range count {
		list = append(list, roster.Target{ID: fmt.Sprint("t", domain, "-", t), Service: "s", Domain: fmt.Sprint("d", domain), Address: fmt.Sprint(domain, ":", t), Slots: 8})
	}
	s.domains[domain].SetTargets(list)
	s.recordFree(domain)
}

// recordFree records whether an allocator has a free slot.
func (s *scarceSimulation) recordFree(domain int) {
	switch free := s.domains[domain].Free(s.clock.Now()) > 0; {
	case !free:
		s.freeSince[domain] = time.Time{}
	case s.freeSince[domain].IsZero():
		s.freeSince[domain] = s.clock.Now()
	}
}

func (s *scarceSimulation) since() time.Duration { return s.clock.Now().Sub(virtual.Start) }

// atPeak reports whether the load is at its peak. Every period ends with one.
func (s *scarceSimulation) atPeak() bool { return s.since()%peakPeriod >= peakPeriod-peakLength }

func (s *scarceSimulation) scheduleArrivals(organisation int, perSecond float64) {
	s.clock.After(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.since() >= simulatedPeriods*peakPeriod {
			return
		}
		if s.atPeak() || s.random.Float64() < troughFactor {
			s.submit(organisation)
		}
		s.scheduleArrivals(organisation, perSecond)
	})
}

// submit sends a first try, and a second one if it is rejected.
func (s *scarceSimulation) submit(organisation int) {
	u := &s.usage[organisation]
	peak := -1
	if s.atPeak() {
		peak = int(s.since() / peakPeriod)
		u.peakOffered[peak]++
	}
	u.offered++
	arrived := s.clock.Now()
	s.try(organisation, func(sent, onTime bool, retryIn time.Duration) {
		held := s.clock.Now().Sub(arrived) > rejectWithin
		switch {
		case onTime:
			u.onTime++
			if peak >= 0 {
				u.peakOnTime[peak]++
			}
		case sent:
			u.late++
		case held:
			u.held++
		default:
			u.rejected++
			u.retried++
			again := time.Duration(float64(retryIn) * (1 + s.random.Float64()/2))
			s.clock.After(again, func() {
				s.try(organisation, func(_, onTime bool, _ time.Duration) {
					if onTime {
						u.retriedOnTime++
					}
				})
			})
		}
	})
}

// try is one request: the steps of Client.Place.
func (s *scarceSimulation) try(organisation int, done func(sent, onTime bool, retryIn time.Duration)) {
	inst := s.random.IntN(len(s.domains))
	arrived := &arrival{at: s.clock.Now()}
	request := PlaceRequest{Want: placement.Requirements{Service: "s"}}
	request.Instance = fmt.Sprint("n", inst)
	ask := func(domain int, wait time.Duration, answer func(bool, placement.QueueState)) {
		r := request
		s.number++
		r.Number, r.Wait, r.Age = s.number, wait, s.clock.Now().Sub(arrived.at)
		r.OnTimeIn = testObjective - sendAllowance - r.Age
		if s.fairQueue {
			r.Organisation, r.Weight = fmt.Sprint("o", organisation), shareOf(organisation)
			r.RejectIn, r.WaitIn = max(0, rejectWithin-answerMargin-r.Age), longestWait-r.Age
			r.FirstWait = wait > 0 && !arrived.waited
		}
		s.clock.After(messageDelay, func() {
			s.enqueue(domain, r, func(granted bool, state placement.QueueState) {
				if granted {
					work := time.Duration(float64(streamTime) * max(0.3, 1+0.25*s.random.NormFloat64()))
					s.clock.After(work, func() {
						s.domains[domain].ApplyReport(s.clock.Now(), HoldReport{Instance: r.Instance, Released: []uint64{r.Number}})
						s.allocate(domain)
					})
				}
				s.clock.After(messageDelay, func() {
					arrived.waited = arrived.waited || wait > 0
					answer(granted, state)
				})
			})
		})
	}
	granted := func() { done(true, s.clock.Now().Sub(arrived.at) <= testObjective-sendAllowance, 0) }
	var round func()
	round = func() {
		began, waitAt, retryIn := s.clock.Now(), -1, time.Hour
		var probe func(i int)
		probe = func(i int) {
			if i < len(s.domains) {
				domain := (inst + i) % len(s.domains)
				ask(domain, 0, func(ok bool, state placement.QueueState) {
					if ok {
						granted()
						return
					}
					if !state.Rejected && waitAt < 0 {
						waitAt = domain
					}
					if state.Rejected {
						retryIn = min(retryIn, state.RoomIn)
					}
					probe(i + 1)
				})
				return
			}
			age := s.clock.Now().Sub(arrived.at)
			if waitAt < 0 && age <= rejectWithin {
				if s.freeSlots(began) {
					s.usage[organisation].rejectedWhileFree++
				}
				done(false, false, retryIn)
				return
			}
			if age > longestWait {
				done(false, false, 0)
				return
			}
			ask(max(waitAt, 0), onlineWait, func(ok bool, _ placement.QueueState) {
				if ok {
					granted()
					return
				}
				round()
			})
		}
		probe(0)
	}
	round()
}

// freeSlots reports whether any allocator has had a free slot since a time.
func (s *scarceSimulation) freeSlots(since time.Time) bool {
	for _, at := range s.freeSince {
		if !at.IsZero() && !at.After(since) {
			return true
		}
	}
	return false
}

func (s *scarceSimulation) enqueue(domain int, request PlaceRequest, answer func(bool, placement.QueueState)) {
	a := s.domains[domain]
	w := a.Enqueue(s.clock.Now(), &request)
	s.answers[domain][w] = func(granted bool) { answer(granted, w.state) }
	s.allocate(domain)
	s.clock.After(request.Wait, func() {
		if answer := s.answers[domain][w]; answer != nil {
			a.Dequeue(w)
			delete(s.answers[domain], w)
			answer(false)
		}
	})
}

func (s *scarceSimulation) allocate(domain int) {
	a := s.domains[domain]
	answer := func(w *Waiter, granted bool) {
		done := s.answers[domain][w]
		delete(s.answers[domain], w)
		done(granted)
	}
	for _, allocation := range a.Allocate(s.clock.Now()) {
		answer(allocation.Waiter, true)
	}
	for _, w := range a.RejectUnservable(s.clock.Now()) {
		answer(w, false)
	}
	s.recordFree(domain)
}

// others returns the sums over all organisations but the hot one, and the lowest part of its
// entitlement that one of them got on time.
func (s *scarceSimulation) others() (sum usage, worst float64) {
	worst = 1
	for o := range s.usage {
		u := &s.usage[o]
		if o == s.hot {
			continue
		}
		sum.offered += u.offered
		sum.onTime += u.onTime
		sum.late += u.late
		sum.rejected += u.rejected
		sum.held += u.held
		sum.entitled += u.entitled
		sum.entitledOnTime += u.entitledOnTime
		sum.retried += u.retried
		sum.retriedOnTime += u.retriedOnTime
		sum.rejectedWhileFree += u.rejectedWhileFree
		worst = min(worst, u.entitledOnTime/u.entitled)
	}
	return sum, worst
}

func (u usage) String() string {
	return fmt.Sprintf("offered %d, on time %d, late %d, rejected %d (%d while free), held %d; retried on time %d; entitled %.0f, of them on time %.4f",
		u.offered, u.onTime, u.late, u.rejected, u.rejectedWhileFree, u.held, u.retriedOnTime, u.entitled, u.entitledOnTime/u.entitled)
}
