package policybench

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/limiter"
	"merlintiller/internal/policybench/virtual"
	"merlintiller/internal/protocol"
)

// exactBucket is one token bucket over the whole fleet.
type exactBucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newExactBucket(org protocol.Organisation) *exactBucket {
	return &exactBucket{rate: org.Rate, burst: org.Burst, level: org.Burst, at: virtual.Start}
}

func (b *exactBucket) advance(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take admits a token if the bucket holds one.
func (b *exactBucket) take(now time.Time) bool {
	b.advance(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// above takes a token in any case and returns by how much that is too much.
func (b *exactBucket) above(now time.Time) float64 {
	b.advance(now)
	b.level--
	excess := max(0, -b.level-1e-6)
	b.level = max(b.level, 0)
	return excess
}

// sidedBucket is an exact bucket that a cut divides in two.
type sidedBucket struct {
	inner, outer *exactBucket
}

// cutShare is the share of the domain that is cut off.
const cutShare = 1.0 / 3

func newSidedBucket(org protocol.Organisation) *sidedBucket {
	outer, inner := org, org
	inner.Rate, inner.Burst = org.Rate*cutShare, org.Burst*cutShare
	outer.Rate, outer.Burst = org.Rate-inner.Rate, org.Burst-inner.Burst
	return &sidedBucket{inner: newExactBucket(inner), outer: newExactBucket(outer)}
}

// take admits a token at an instance. Without a cut each side uses the other's.
func (b *sidedBucket) take(now time.Time, f *rateFleet, at int) bool {
	b.inner.advance(now)
	b.outer.advance(now)
	if f.cut == "" {
		b.level()
		return b.inner.take(now) || b.outer.take(now)
	}
	if f.user.domainOf(at) == f.cut {
		return b.inner.take(now)
	}
	return b.outer.take(now)
}

// level spreads the tokens evenly, as if there were one bucket.
func (b *sidedBucket) level() {
	part := (b.inner.level + b.outer.level) / (b.inner.burst + b.outer.burst)
	b.inner.level, b.outer.level = part*b.inner.burst, part*b.outer.burst
}

// rateRun is a load with faults.
type rateRun struct {
	user   user
	length time.Duration
	policy ratePolicy
	cut    bool
	kills  bool
	equal  bool
	// oracle admits by one exact bucket for each side of the cut, with the
	// sides' shares: what a policy can do that knows all on its side.
	oracle bool
	// overload is the organisation that sends five times its rate, -1 for none.
	overload int
	// even leaves out the balancer's skew.
	even bool
}

// rateResult is what came of a run.
type rateResult struct {
	inside, refusedInside int
	above                 float64
	// shortPercent is what the overloading organisation got less than its rate.
	shortPercent float64
	requests     int
	exchanges    int
}

func (r rateResult) refusedPercent() float64 {
	return 100 * float64(r.refusedInside) / float64(max(1, r.inside))
}

// warmUp lets the slots fill before anything is counted.
const warmUp = 20 * time.Second

// Shape of the load: organisations use most of their rate, at random, and now
// and then half of their burst within a second.
const (
	meanUse     = 0.7
	burstEvery  = 40 * time.Second
	burstPart   = 0.5
	overloadUse = 5.0
	killEvery   = time.Minute
	cutFrom     = 30 * time.Second
	cutLength   = 4 * time.Minute
)

type rateSim struct {
	rateRun
	clock   *virtual.Clock
	random  *rand.Rand
	fleet   *rateFleet
	weights []float64
	// inside decides which requests are inside the rate; exact whether the
	// admitted ones were too many.
	inside, exact []*exactBucket
	// split is the baseline: an equal part of each organisation per instance.
	split [][]*exactBucket
	// sides is the oracle in a cut.
	sides   []*sidedBucket
	granted []int
	result  rateResult
}

func (r rateRun) run() rateResult {
	random := rand.New(rand.NewPCG(r.user.seed, 7))
	s := &rateSim{rateRun: r, clock: virtual.NewClock(), random: random, weights: r.user.balancer()}
	if r.even {
		for i := range s.weights {
			s.weights[i] = 1
		}
	}
	s.fleet = newRateFleet(r.user, r.policy, s.clock, random)
	s.granted = make([]int, len(r.user.rates))
	for i := range r.user.rates {
		org := r.user.organisation(i)
		s.inside = append(s.inside, newExactBucket(org))
		s.exact = append(s.exact, newExactBucket(org))
		s.split = append(s.split, s.equalParts(org))
		s.sides = append(s.sides, newSidedBucket(org))
	}
	s.clock.Run(warmUp)
	for i := range r.user.rates {
		s.arrive(i)
		s.bursts(i)
	}
	s.faults()
	s.clock.Run(r.length)
	return s.finish()
}

func (s *rateSim) equalParts(org protocol.Organisation) []*exactBucket {
	parts := make([]*exactBucket, s.user.instances)
	org.Rate /= float64(s.user.instances)
	org.Burst /= float64(s.user.instances)
	for i := range parts {
		parts[i] = newExactBucket(org)
	}
	return parts
}

// arrive makes an organisation's steady requests.
func (s *rateSim) arrive(org int) {
	use := meanUse
	if org == s.overload {
		use = overloadUse
	}
	gap := s.random.ExpFloat64() / (use * s.user.rates[org])
	s.clock.After(time.Duration(gap*float64(time.Second)), func() {
		s.request(org)
		s.arrive(org)
	})
}

// bursts makes an organisation's bursts.
func (s *rateSim) bursts(org int) {
	gap := time.Duration(s.random.ExpFloat64() * float64(burstEvery))
	s.clock.After(gap, func() {
		count := int(burstPart * s.user.organisation(org).Burst)
		for range count {
			s.clock.After(time.Duration(s.random.Float64()*float64(time.Second)), func() { s.request(org) })
		}
		s.bursts(org)
	})
}

func (s *rateSim) faults() {
	if s.cut {
		s.clock.After(cutFrom, func() { s.fleet.cut = s.user.domains[2] })
		s.clock.After(cutFrom+cutLength, func() {
			s.fleet.cut = ""
			for _, domain := range s.user.domains {
				s.fleet.assign(domain)
			}
		})
	}
	if s.kills {
		s.clock.Every(killEvery, func() { s.fleet.kill(s.random.IntN(s.user.instances)) })
	}
}

func (s *rateSim) request(org int) {
	now := s.clock.Now()
	inside := s.inside[org].take(now) && org != s.overload
	s.result.requests++
	if inside {
		s.result.inside++
	}
	at := s.fleet.choose(s.weights)
	if s.equal {
		s.decided(org, inside, s.split[org][at].take(now))
		return
	}
	if s.oracle {
		s.decided(org, inside, s.sides[org].take(now, s.fleet, at))
		return
	}
	s.fleet.admit(at, s.user.organisation(org).ID, func(granted bool) { s.decided(org, inside, granted) })
}

func (s *rateSim) decided(org int, inside, granted bool) {
	if granted {
		s.granted[org]++
		s.result.above += s.exact[org].above(s.clock.Now())
	} else if inside {
		s.result.refusedInside++
	}
}

func (s *rateSim) finish() rateResult {
	s.result.exchanges = s.fleet.exchanges
	if s.overload >= 0 {
		org := s.user.organisation(s.overload)
		full := org.Rate*s.length.Seconds() + org.Burst
		s.result.shortPercent = 100 * (1 - float64(s.granted[s.overload])/full)
	}
	return s.result
}

// slotPolicy is the one in use.
func slotPolicy() ratePolicy {
	return ratePolicy{name: "slots", settings: limiter.Defaults()}
}

const rateRunLength = 5 * time.Minute

// measureRates compares the policy in use with an equal split.
func measureRates(u user) []measure {
	run := rateRun{user: u, length: rateRunLength, policy: slotPolicy(), overload: 2}
	calm := run.run()
	run.equal = true
	calmSplit := run.run()
	run.equal, run.cut, run.kills = false, true, true
	faults := run.run()
	run.equal = true
	faultsSplit := run.run()
	run.equal, run.oracle = false, true
	faultsOracle := run.run()
	return []measure{
		{name: "rate.refused_inside_percent", unit: "percent", user: u.name,
			baseline: calmSplit.refusedPercent(), now: calm.refusedPercent()},
		{name: "rate.refused_inside_cut_percent", unit: "percent", user: u.name,
			baseline: faultsSplit.refusedPercent(), now: faults.refusedPercent(),
			oracle: faultsOracle.refusedPercent(), hasOracle: true},
		{name: "rate.admitted_above", unit: "tokens", user: u.name,
			baseline: calmSplit.above + faultsSplit.above, now: calm.above + faults.above, hasOracle: true},
	}
}
