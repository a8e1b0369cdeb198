package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"merlintiller/internal/protocol"
)

// oracle is one exact token bucket for the whole fleet.
type oracle struct {
	rate, burst, level float64
	at                 time.Time
}

func (o *oracle) admit(now time.Time, tokens float64) error {
	o.level = min(o.burst, o.level+o.rate*now.Sub(o.at).Seconds()) - tokens
	o.at = now
	if o.level < -1e-6 {
		return fmt.Errorf("admitted %.3f tokens more than rate %v and burst %v allow", -o.level, o.rate, o.burst)
	}
	return nil
}

// defect is a deliberate fault in the limiter's decisions.
type defect int

const (
	noDefect defect = iota
	takeNotDebited
	slotStartsFull
	slotReassignedEarly
	outstandingIgnored
	lifetimeFromReply
	growthNotDelayed
)

// message is a Take call in flight, or its reply.
type message struct {
	at    time.Time
	from  int
	to    int
	call  *TakeCall
	reply *TakeReply
}

// simulation is a fleet of cores with an unreliable network, drifting clocks,
// slots that change hands and configurations that arrive with random delays.
type simulation struct {
	random   *rand.Rand
	defect   defect
	now      time.Time
	cores    []*Core
	drift    []float64
	inFlight []message
	shares   map[protocol.Domain]protocol.DomainShare
	// configChanges is true if the configuration changes in this simulation.
	configChanges bool
	// holder is the index of the core that holds a slot.
	holder map[SlotKey]int
	fence  protocol.Offset
	fleets []*protocol.Fleet
	// applied is the index of the configuration that each core has applied.
	applied []int
	oracle  oracle
	failure error
}

const (
	simInstances = 6
	simSteps     = 300
	// defectSteps is larger than simSteps, because some defects only have an
	// effect in rare situations.
	defectSteps = 900
)

func newSimulation(seed uint64, d defect) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), defect: d, now: epoch,
		shares: equalShares("a", "b", "c"), holder: map[SlotKey]int{},
		applied: make([]int, simInstances),
	}
	s.configChanges = s.random.IntN(2) == 0
	settings := Defaults()
	for i := range simInstances {
		domain := protocol.Domain('a' + rune(i%3))
		s.cores = append(s.cores, NewCore(protocol.InstanceID(fmt.Sprint(i)), domain, settings))
		s.drift = append(s.drift, 1+settings.ClockDrift*(s.random.Float64()-0.5))
	}
	org := protocol.Organisation{ID: "o", Rate: 1 + 40*s.random.Float64(), Burst: 1 + 40*s.random.Float64()}
	s.publish(org)
	for i := range s.cores {
		s.applyNext(i)
	}
	s.confirmRollout()
	s.oracle.level = org.Burst
	for slot := range SlotsPerDomain {
		for d := range 3 {
			s.assign(SlotKey{Domain: protocol.Domain('a' + rune(d)), Slot: slot}, d+3*(slot%2))
		}
	}
	return s
}

// clock returns a core's own clock, which has its own rate and starting point.
func (s *simulation) clock(i int) time.Time {
	elapsed := float64(s.now.Sub(epoch)) * s.drift[i]
	return epoch.Add(time.Duration(i)*time.Hour + time.Duration(elapsed))
}

func (s *simulation) publish(org protocol.Organisation) {
	fleet := &protocol.Fleet{
		Version:       protocol.Offset(len(s.fleets)),
		Organisations: map[protocol.OrganisationID]protocol.Organisation{org.ID: org},
		Domains:       s.shares,
	}
	s.fleets = append(s.fleets, fleet)
	s.updateOracle()
}

func (s *simulation) applyNext(i int) {
	if s.applied[i]+1 < len(s.fleets) {
		s.applied[i]++
	}
	s.cores[i].Configure(s.clock(i), s.fleets[s.applied[i]], true)
	if s.defect == growthNotDelayed {
		s.cores[i].rollout.superseded = nil
	}
}

// updateOracle sets the oracle to the largest rate and burst of the
// configurations in use.
func (s *simulation) updateOracle() {
	first := slices.Min(s.applied)
	s.oracle.level = min(s.oracle.burst, s.oracle.level+s.oracle.rate*s.now.Sub(s.oracle.at).Seconds())
	s.oracle.at = s.now
	s.oracle.rate, s.oracle.burst = 0, 0
	for _, fleet := range s.fleets[first:] {
		s.oracle.rate = max(s.oracle.rate, fleet.Organisations["o"].Rate)
		s.oracle.burst = max(s.oracle.burst, fleet.Organisations["o"].Burst)
	}
}

// confirmRollout tells every core the lowest version that all of them have
// applied. It removes older configurations from the oracle once the tokens
// granted under them have expired.
func (s *simulation) confirmRollout() {
	all := s.fleets[slices.Min(s.applied)].Version
	for i, core := range s.cores {
		core.ConfirmVersion(s.clock(i), all)
	}
	s.advance(300 * time.Millisecond)
	s.updateOracle()
}

func (s *simulation) assign(key SlotKey, to int) {
	s.fence++
	s.holder[key] = to
	core := s.cores[to]
	core.SetUsableUntil(s.clock(to).Add(24 * time.Hour))
	core.AddSlot(s.clock(to), key, s.fence)
	if s.defect == slotStartsFull {
		core.held[key] = heldSlot{fence: s.fence, fillsFrom: s.clock(to).Add(-time.Hour)}
	}
	for _, c := range s.cores {
		c.holders[key] = core.self
	}
}

// reassign moves a slot to the other instance of its domain.
func (s *simulation) reassign() {
	quotas := Divide(s.fleets[len(s.fleets)-1].Organisations["o"], s.shares)
	key := quotas[s.random.IntN(len(quotas))].Key
	old := s.holder[key]
	if s.defect != slotReassignedEarly {
		s.cores[old].RemoveSlot(key)
	}
	s.assign(key, (old+3)%simInstances)
}

func (s *simulation) advance(d time.Duration) {
	until := s.now.Add(d)
	for {
		next := -1
		for i := range s.inFlight {
			if !s.inFlight[i].at.After(until) && (next < 0 || s.inFlight[i].at.Before(s.inFlight[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		m := s.inFlight[next]
		s.inFlight = slices.Delete(s.inFlight, next, next+1)
		s.now = m.at
		s.deliver(m)
	}
	s.now = until
}

// send puts a message on the network, which delays it and may lose or duplicate
// it.
func (s *simulation) send(m message) {
	copies := 1
	switch s.random.IntN(12) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		m.at = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(5*time.Millisecond)))
		if s.random.IntN(10) == 0 {
			m.at = m.at.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
		}
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *simulation) deliver(m message) {
	if m.reply == nil {
		reply := s.take(m)
		s.send(message{from: m.to, to: m.from, call: m.call, reply: &reply})
		return
	}
	if m.call == nil {
		return
	}
	call := *m.call
	if s.defect == lifetimeFromReply {
		call.Sent = s.clock(m.to)
	}
	// A net/rpc call returns its reply only once.
	if m.call.Holder == "" {
		return
	}
	m.call.Holder = ""
	s.cores[m.to].HandleReply(s.clock(m.to), &call, *m.reply, false)
	s.request(m.to, 1)
}

func (s *simulation) take(m message) TakeReply {
	core := s.cores[m.to]
	reply := core.Take(s.clock(m.to), m.call.Args)
	a, ok := core.accounts["o"]
	if !ok {
		return reply
	}
	for i := range a.slots {
		b := a.slots[i].bucket
		if b == nil || a.slots[i].quota.Key != m.call.Args.Slot {
			continue
		}
		switch s.defect {
		case takeNotDebited:
			b.tokens += reply.Now + reply.Ahead
		case outstandingIgnored:
			b.outstanding, b.outstandingSum = nil, 0
		}
	}
	return reply
}

func (s *simulation) request(i int, tokens float64) {
	r := &Request{Organisation: "o", Tokens: tokens}
	decision := s.cores[i].Decide(s.clock(i), r)
	if decision.Granted && s.failure == nil {
		s.failure = s.oracle.admit(s.now, tokens)
	}
	for _, call := range append(decision.Returns, decision.Call, decision.Prefetch) {
		if call == nil {
			continue
		}
		to := slices.IndexFunc(s.cores, func(c *Core) bool { return c.self == call.Holder })
		s.send(message{from: i, to: to, call: call})
	}
}

func (s *simulation) step() {
	switch n := s.random.IntN(1000); {
	case n < 800:
		s.advance(time.Duration(s.random.ExpFloat64() * float64(15*time.Millisecond)))
		s.request(s.random.IntN(simInstances), 1)
	case n < 900:
		for range s.random.IntN(30) {
			s.request(s.random.IntN(simInstances), 1)
		}
	case n < 970:
		s.advance(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	case n < 985:
		s.reassign()
	case n < 988:
		if s.configChanges {
			s.change()
		}
	case n < 992:
		s.applyNext(s.random.IntN(simInstances))
	case n < 993:
		s.confirmRollout()
	default:
		s.drainAll()
	}
}

// change publishes another rate or other shares.
func (s *simulation) change() {
	org := s.fleets[len(s.fleets)-1].Organisations["o"]
	if s.random.IntN(3) == 0 {
		org.Rate, org.Burst = 1+40*s.random.Float64(), 1+40*s.random.Float64()
	}
	s.shares = equalShares("a", "b", "c")
	for name, share := range s.shares {
		share.Share = float64(1 + s.random.IntN(4))
		s.shares[name] = share
	}
	s.publish(org)
	for i := range s.cores {
		if s.random.IntN(2) == 0 {
			s.applyNext(i)
		}
	}
	s.drainAll()
}

// drainAll lets the buckets fill and then takes all tokens at all instances.
func (s *simulation) drainAll() {
	s.advance(time.Duration(s.random.IntN(10)) * time.Second)
	for range 150 {
		for i := range s.cores {
			s.request(i, 1)
		}
		s.advance(2 * time.Millisecond)
	}
}

func runSimulation(seed uint64, d defect, steps int) error {
	s := newSimulation(seed, d)
	for range steps {
		if s.step(); s.failure != nil {
			return fmt.Errorf("seed %d: %w", seed, s.failure)
		}
	}
	return nil
}

// Messages between instances are lost, duplicated and delayed, clocks drift,
// slots change hands and rates change while grants are outstanding. The fleet
// must never admit more than one exact token bucket would: otherwise an
// organisation uses capacity that another one pays for.
func TestFleetNeverAdmitsAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := runSimulation(seed, noDefect, simSteps); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestOracleFindsDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"take not debited":      takeNotDebited,
		"slot starts full":      slotStartsFull,
		"slot reassigned early": slotReassignedEarly,
		"outstanding ignored":   outstandingIgnored,
		"lifetime from reply":   lifetimeFromReply,
		"growth not delayed":    growthNotDelayed,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if err := runSimulation(seed, d, defectSteps); err != nil {
					t.Log(err)
					return
				}
			}
			require.Fail(t, "the oracle did not detect the defect")
		})
	}
}
