package policybench

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// tokenBucket is a token bucket without the approximations of the distributed
// limiter. One bucket can cover the whole fleet or a part of it.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

func newTokenBucket(org protocol.Organisation) *tokenBucket {
	return &tokenBucket{rate: org.Rate, burst: org.Burst, level: org.Burst, updatedAt: virtual.Start}
}

func (b *tokenBucket) advance(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// take removes one token and reports whether the bucket held one.
func (b *tokenBucket) take(now time.Time) bool {
	b.advance(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// takeExcess removes one token in any case and returns the number of tokens that
// the bucket lacked. Rounding errors up to 1e-6 tokens are ignored.
func (b *tokenBucket) takeExcess(now time.Time) float64 {
	b.advance(now)
	b.level--
	excess := max(0, -b.level-1e-6)
	b.level = max(b.level, 0)
	return excess
}

// partitionedBucket is a token bucket over the whole fleet that a network partition
// splits in two: one part for the isolated failure domain, one for the rest.
type partitionedBucket struct {
	isolated, remaining *tokenBucket
}

// isolatedShare is the share of the rate that belongs to the isolated domain.
const isolatedShare = 1.0 / 3

func newPartitionedBucket(org protocol.Organisation) *partitionedBucket {
	remaining, isolated := org, org
	isolated.Rate, isolated.Burst = org.Rate*isolatedShare, org.Burst*isolatedShare
	remaining.Rate, remaining.Burst = org.Rate-isolated.Rate, org.Burst-isolated.Burst
	return &partitionedBucket{isolated: newTokenBucket(isolated), remaining: newTokenBucket(remaining)}
}

// take removes one token for a request at an instance and reports whether there was
// one. Without a network partition each part can use the tokens of the other.
func (b *partitionedBucket) take(now time.Time, f *rateFleet, at int) bool {
	b.isolated.advance(now)
	b.remaining.advance(now)
	if f.isolated == "" {
		b.rebalance()
		return b.isolated.take(now) || b.remaining.take(now)
	}
	if f.deployment.domainOf(at) == f.isolated {
		return b.isolated.take(now)
	}
	return b.remaining.take(now)
}

// rebalance distributes the tokens in proportion to the bursts, as if there were
// only one bucket.
func (b *partitionedBucket) rebalance() {
	fill := (b.isolated.level + b.remaining.level) / (b.isolated.burst + b.remaining.burst)
	b.isolated.level, b.remaining.level = fill*b.isolated.burst, fill*b.remaining.burst
}

// rateRun configures a simulation of the limiter under load, with or without
// faults.
type rateRun struct {
	deployment deployment
	length     time.Duration
	policy     ratePolicy
	// partition isolates one failure domain for partitionLength.
	partition bool
	// kills terminates a random instance every killInterval.
	kills bool
	// equalSplit replaces the policy by local buckets, each with an equal part
	// of the rate.
	equalSplit bool
	// oracle replaces the policy by one bucket for each side of the network
	// partition, with that side's share of the rate. No policy that knows only
	// the state of its own side can do better.
	oracle bool
	// overload is the index of the organisation that sends five times its rate
	// (overloadFactor), -1 for none.
	overload int
	// evenLoad gives all instances the same weight in the load balancer, instead
	// of balancerSkew.
	evenLoad bool
}

// rateResult has the measurements of one run.
type rateResult struct {
	// inRate counts the requests within the organisation's rate, rejectedInRate
	// those of them that were rejected.
	inRate, rejectedInRate int
	// admittedAbove is the number of tokens admitted above the rates.
	admittedAbove float64
	// shortfallPercent is the part of its rate that the overloading organisation
	// did not receive.
	shortfallPercent float64
	requests         int
	// exchanges counts the Take calls between instances.
	exchanges int
}

func (r rateResult) rejectedPercent() float64 {
	return 100 * float64(r.rejectedInRate) / float64(max(1, r.inRate))
}

// warmUp is the time for the slots to fill before requests are counted.
const warmUp = 20 * time.Second

// Parameters of the load. Organisations use meanRateUse of their rate at random
// times. In addition, every meanBurstInterval on average, an organisation sends
// half of its burst (burstFraction) within one second.
const (
	meanRateUse       = 0.7
	meanBurstInterval = 40 * time.Second
	burstFraction     = 0.5
	overloadFactor    = 5.0
	killInterval      = time.Minute
	partitionStart    = 30 * time.Second
	partitionLength   = 4 * time.Minute
)

type rateSim struct {
	rateRun
	clock   *virtual.Clock
	random  *rand.Rand
	fleet   *rateFleet
	weights []float64
	// inRateBuckets decide which requests are within the rate, globalBuckets
	// whether more requests were admitted than the rate allows. Both have one
	// bucket for each organisation.
	inRateBuckets, globalBuckets []*tokenBucket
	// splitBuckets are the baseline: for each organisation, one bucket per instance
	// with an equal part of the rate.
	splitBuckets [][]*tokenBucket
	// partitionedBuckets have the buckets of the oracle, one for each organisation.
	partitionedBuckets []*partitionedBucket
	granted            []int
	result             rateResult
}

func (r rateRun) run() rateResult {
	random := rand.New(rand.NewPCG(r.deployment.seed, 7))
	s := &rateSim{rateRun: r, clock: virtual.NewClock(), random: random, weights: r.deployment.balancerWeights()}
	if r.evenLoad {
		for i := range s.weights {
			s.weights[i] = 1
		}
	}
	s.fleet = newRateFleet(r.deployment, r.policy, s.clock, random)
	s.granted = make([]int, len(r.deployment.rates))
	for i := range r.deployment.rates {
		org := r.deployment.organisation(i)
		s.inRateBuckets = append(s.inRateBuckets, newTokenBucket(org))
		s.globalBuckets = append(s.globalBuckets, newTokenBucket(org))
		s.splitBuckets = append(s.splitBuckets, s.newSplitBuckets(org))
		s.partitionedBuckets = append(s.partitionedBuckets, newPartitionedBucket(org))
	}
	s.clock.Run(warmUp)
	for i := range r.deployment.rates {
		s.scheduleArrival(i)
		s.scheduleBurst(i)
	}
	s.scheduleFaults()
	s.clock.Run(r.length)
	return s.finish()
}

func (s *rateSim) newSplitBuckets(org protocol.Organisation) []*tokenBucket {
	buckets := make([]*tokenBucket, s.deployment.instances)
	org.Rate /= float64(s.deployment.instances)
	org.Burst /= float64(s.deployment.instances)
	for i := range buckets {
		buckets[i] = newTokenBucket(org)
	}
	return buckets
}

// scheduleArrival schedules the next steady request of an organisation.
func (s *rateSim) scheduleArrival(org int) {
	rateUse := meanRateUse
	if org == s.overload {
		rateUse = overloadFactor
	}
	gap := s.random.ExpFloat64() / (rateUse * s.deployment.rates[org])
	s.clock.After(time.Duration(gap*float64(time.Second)), func() {
		s.request(org)
		s.scheduleArrival(org)
	})
}

// scheduleBurst schedules the next burst of an organisation.
func (s *rateSim) scheduleBurst(org int) {
	gap := time.Duration(s.random.ExpFloat64() * float64(meanBurstInterval))
	s.clock.After(gap, func() {
		count := int(burstFraction * s.deployment.organisation(org).Burst)
		for range count {
			s.clock.After(time.Duration(s.random.Float64()*float64(time.Second)), func() { s.request(org) })
		}
		s.scheduleBurst(org)
	})
}

func (s *rateSim) scheduleFaults() {
	if s.partition {
		s.clock.After(partitionStart, func() { s.fleet.isolated = s.deployment.domains[2] })
		s.clock.After(partitionStart+partitionLength, func() {
			s.fleet.isolated = ""
			for _, domain := range s.deployment.domains {
				s.fleet.assign(domain)
			}
		})
	}
	if s.kills {
		s.clock.Every(killInterval, func() { s.fleet.kill(s.random.IntN(s.deployment.instances)) })
	}
}

func (s *rateSim) request(org int) {
	now := s.clock.Now()
	inRate := s.inRateBuckets[org].take(now) && org != s.overload
	s.result.requests++
	if inRate {
		s.result.inRate++
	}
	at := s.fleet.chooseInstance(s.weights)
	if s.equalSplit {
		s.recordDecision(org, inRate, s.splitBuckets[org][at].take(now))
		return
	}
	if s.oracle {
		s.recordDecision(org, inRate, s.partitionedBuckets[org].take(now, s.fleet, at))
		return
	}
	s.fleet.admit(at, s.deployment.organisation(org).ID, func(granted bool) { s.recordDecision(org, inRate, granted) })
}

func (s *rateSim) recordDecision(org int, inRate, granted bool) {
	if granted {
		s.granted[org]++
		s.result.admittedAbove += s.globalBuckets[org].takeExcess(s.clock.Now())
	} else if inRate {
		s.result.rejectedInRate++
	}
}

func (s *rateSim) finish() rateResult {
	s.result.exchanges = s.fleet.exchanges
	if s.overload >= 0 {
		org := s.deployment.organisation(s.overload)
		entitled := org.Rate*s.length.Seconds() + org.Burst
		s.result.shortfallPercent = 100 * (1 - float64(s.granted[s.overload])/entitled)
	}
	return s.result
}

// slotPolicy returns the current policy, which distributes the tokens by slots.
func slotPolicy() ratePolicy {
	return ratePolicy{name: "slots", settings: limiter.Defaults()}
}

const rateRunLength = 5 * time.Minute

// measureRates compares the current policy with an equal split of the rates, with
// and without faults.
func measureRates(d deployment) []measure {
	run := rateRun{deployment: d, length: rateRunLength, policy: slotPolicy(), overload: 2}
	faultless := run.run()
	run.equalSplit = true
	faultlessSplit := run.run()
	run.equalSplit, run.partition, run.kills = false, true, true
	faults := run.run()
	run.equalSplit = true
	faultsSplit := run.run()
	run.equalSplit, run.oracle = false, true
	faultsOracle := run.run()
	return []measure{
		{name: "rate.refused_inside_percent", unit: "percent", deployment: d.name,
			baseline: faultlessSplit.rejectedPercent(), current: faultless.rejectedPercent()},
		{name: "rate.refused_inside_cut_percent", unit: "percent", deployment: d.name,
			baseline: faultsSplit.rejectedPercent(), current: faults.rejectedPercent(),
			oracle: faultsOracle.rejectedPercent(), hasOracle: true},
		{name: "rate.admitted_above", unit: "tokens", deployment: d.name,
			baseline: faultlessSplit.admittedAbove + faultsSplit.admittedAbove, current: faultless.admittedAbove + faults.admittedAbove, hasOracle: true},
	}
}
