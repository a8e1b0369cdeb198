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

// oracle is one exact token bucket over the whole fleet.
type oracle struct {
	rate, burst, level float64
	at                 time.Time
}

func (o *oracle) admit(now time.Time, tokens float64) error {
	o.level = min(o.burst, o.level+o.rate*now.Sub(o.at).Seconds()) - tokens
	o.at = now
	if o.level < -1e-6 {
		return fmt.Errorf("%.3f tokens above rate %v and burst %v", -o.level, o.rate, o.burst)
	}
	return nil
}

// defect is a deliberate fault in the decisions.
type defect int

const (
	sound defect = iota
	takeWithoutDebit
	slotStartsFull
	slotReassignedEarly
	lentTokensForgotten
	lifeCountedFromAnswer
	growthNotHeldBack
)

// message is a Take on its way, or its answer on the way back.
type message struct {
	at    time.Time
	from  int
	to    int
	ask   *TakeCall
	reply *TakeReply
}

// trial is a fleet of cores with a lossy net, drifting clocks, slots that change
// hands and configurations that travel at random speed.
type trial struct {
	random *rand.Rand
	defect defect
	now    time.Time
	cores  []*Core
	drift  []float64
	net    []message
	shares map[protocol.Domain]protocol.DomainShare
	// changing says that configurations change in this trial.
	changing bool
	// holder is who uses a slot, and until when.
	holder map[SlotKey]int
	fence  protocol.Offset
	fleets []*protocol.Fleet
	// follows is the index of the configuration that a core follows.
	follows []int
	oracle  oracle
	failure error
}

const (
	trialInstances = 6
	trialSteps     = 300
	// defectSteps are more: some defects show in rare moments only.
	defectSteps = 900
)

func newTrial(seed uint64, d defect) *trial {
	t := &trial{
		random: rand.New(rand.NewPCG(seed, 1)), defect: d, now: epoch,
		shares: domains("a", "b", "c"), holder: map[SlotKey]int{},
		follows: make([]int, trialInstances),
	}
	t.changing = t.random.IntN(2) == 0
	settings := Defaults()
	for i := range trialInstances {
		domain := protocol.Domain('a' + rune(i%3))
		t.cores = append(t.cores, NewCore(protocol.InstanceID(fmt.Sprint(i)), domain, settings))
		t.drift = append(t.drift, 1+settings.ClockDrift*(t.random.Float64()-0.5))
	}
	org := protocol.Organisation{ID: "o", Rate: 1 + 40*t.random.Float64(), Burst: 1 + 40*t.random.Float64()}
	t.publish(org)
	for i := range t.cores {
		t.follow(i)
	}
	t.settle()
	t.oracle.level = org.Burst
	for slot := range SlotsPerDomain {
		for d := range 3 {
			t.assign(SlotKey{Domain: protocol.Domain('a' + rune(d)), Slot: slot}, d+3*(slot%2))
		}
	}
	return t
}

// clock is a core's own clock: it runs faster or slower, from another start.
func (t *trial) clock(i int) time.Time {
	elapsed := float64(t.now.Sub(epoch)) * t.drift[i]
	return epoch.Add(time.Duration(i)*time.Hour + time.Duration(elapsed))
}

func (t *trial) publish(org protocol.Organisation) {
	fleet := &protocol.Fleet{
		Version:       protocol.Offset(len(t.fleets)),
		Organisations: map[protocol.OrganisationID]protocol.Organisation{org.ID: org},
		Domains:       t.shares,
	}
	t.fleets = append(t.fleets, fleet)
	t.loosen()
}

func (t *trial) follow(i int) {
	if t.follows[i]+1 < len(t.fleets) {
		t.follows[i]++
	}
	t.cores[i].Configure(t.clock(i), t.fleets[t.follows[i]], true)
	if t.defect == growthNotHeldBack {
		t.cores[i].generations.past = nil
	}
}

// loosen sets the oracle to the largest of the configurations in use.
func (t *trial) loosen() {
	first := slices.Min(t.follows)
	t.oracle.level = min(t.oracle.burst, t.oracle.level+t.oracle.rate*t.now.Sub(t.oracle.at).Seconds())
	t.oracle.at = t.now
	t.oracle.rate, t.oracle.burst = 0, 0
	for _, fleet := range t.fleets[first:] {
		t.oracle.rate = max(t.oracle.rate, fleet.Organisations["o"].Rate)
		t.oracle.burst = max(t.oracle.burst, fleet.Organisations["o"].Burst)
	}
}

// settle tells every core what all of them follow, and drops the older
// configurations from the oracle once what was lent under them has ended.
func (t *trial) settle() {
	all := t.fleets[slices.Min(t.follows)].Version
	for i, core := range t.cores {
		core.Settle(t.clock(i), all)
	}
	t.advance(300 * time.Millisecond)
	t.loosen()
}

func (t *trial) assign(key SlotKey, to int) {
	t.fence++
	t.holder[key] = to
	core := t.cores[to]
	core.SetUsableUntil(t.clock(to).Add(24 * time.Hour))
	core.AddSlot(t.clock(to), key, t.fence)
	if t.defect == slotStartsFull {
		core.held[key] = tenure{fence: t.fence, from: t.clock(to).Add(-time.Hour)}
	}
	for _, c := range t.cores {
		c.holders[key] = core.self
	}
}

// reassign moves a slot to the other instance of its domain.
func (t *trial) reassign() {
	parts := Divide(t.fleets[len(t.fleets)-1].Organisations["o"], t.shares)
	key := parts[t.random.IntN(len(parts))].Key
	old := t.holder[key]
	if t.defect != slotReassignedEarly {
		t.cores[old].RemoveSlot(key)
	}
	t.assign(key, (old+3)%trialInstances)
}

func (t *trial) advance(d time.Duration) {
	until := t.now.Add(d)
	for {
		next := -1
		for i := range t.net {
			if !t.net[i].at.After(until) && (next < 0 || t.net[i].at.Before(t.net[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		m := t.net[next]
		t.net = slices.Delete(t.net, next, next+1)
		t.now = m.at
		t.deliver(m)
	}
	t.now = until
}

// send gives a message to the net, which delays it, and may lose or double it.
func (t *trial) send(m message) {
	copies := 1
	switch t.random.IntN(12) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		m.at = t.now.Add(time.Duration(t.random.ExpFloat64() * float64(5*time.Millisecond)))
		if t.random.IntN(10) == 0 {
			m.at = m.at.Add(time.Duration(t.random.IntN(400)) * time.Millisecond)
		}
		t.net = append(t.net, m)
	}
}

func (t *trial) deliver(m message) {
	if m.reply == nil {
		reply := t.take(m)
		t.send(message{from: m.to, to: m.from, ask: m.ask, reply: &reply})
		return
	}
	if m.ask == nil {
		return
	}
	ask := *m.ask
	if t.defect == lifeCountedFromAnswer {
		ask.Sent = t.clock(m.to)
	}
	// A real exchange hands an answer over once.
	if m.ask.Holder == "" {
		return
	}
	m.ask.Holder = ""
	t.cores[m.to].HandleReply(t.clock(m.to), &ask, *m.reply, false)
	t.request(m.to, 1)
}

func (t *trial) take(m message) TakeReply {
	core := t.cores[m.to]
	reply := core.Take(t.clock(m.to), m.ask.Args)
	a, ok := core.accounts["o"]
	if !ok {
		return reply
	}
	for i := range a.sources {
		b := a.sources[i].bucket
		if b == nil || a.sources[i].part.Key != m.ask.Args.Slot {
			continue
		}
		switch t.defect {
		case takeWithoutDebit:
			b.tokens += reply.Now + reply.Ahead
		case lentTokensForgotten:
			b.out, b.outSum = nil, 0
		}
	}
	return reply
}

func (t *trial) request(i int, tokens float64) {
	r := &Request{Organisation: "o", Tokens: tokens}
	verdict := t.cores[i].Decide(t.clock(i), r)
	if verdict.Granted && t.failure == nil {
		t.failure = t.oracle.admit(t.now, tokens)
	}
	for _, ask := range append(verdict.Returns, verdict.Call, verdict.Prefetch) {
		if ask == nil {
			continue
		}
		to := slices.IndexFunc(t.cores, func(c *Core) bool { return c.self == ask.Holder })
		t.send(message{from: i, to: to, ask: ask})
	}
}

func (t *trial) step() {
	switch n := t.random.IntN(1000); {
	case n < 800:
		t.advance(time.Duration(t.random.ExpFloat64() * float64(15*time.Millisecond)))
		t.request(t.random.IntN(trialInstances), 1)
	case n < 900:
		for range t.random.IntN(30) {
			t.request(t.random.IntN(trialInstances), 1)
		}
	case n < 970:
		t.advance(time.Duration(t.random.IntN(2000)) * time.Millisecond)
	case n < 985:
		t.reassign()
	case n < 988:
		if t.changing {
			t.change()
		}
	case n < 992:
		t.follow(t.random.IntN(trialInstances))
	case n < 993:
		t.settle()
	default:
		t.squeeze()
	}
}

// change publishes another rate or other shares.
func (t *trial) change() {
	org := t.fleets[len(t.fleets)-1].Organisations["o"]
	if t.random.IntN(3) == 0 {
		org.Rate, org.Burst = 1+40*t.random.Float64(), 1+40*t.random.Float64()
	}
	t.shares = domains("a", "b", "c")
	for name, share := range t.shares {
		share.Share = float64(1 + t.random.IntN(4))
		t.shares[name] = share
	}
	t.publish(org)
	for i := range t.cores {
		if t.random.IntN(2) == 0 {
			t.follow(i)
		}
	}
	t.squeeze()
}

// squeeze lets the buckets fill and then takes all there is, everywhere.
func (t *trial) squeeze() {
	t.advance(time.Duration(t.random.IntN(10)) * time.Second)
	for range 150 {
		for i := range t.cores {
			t.request(i, 1)
		}
		t.advance(2 * time.Millisecond)
	}
}

func runTrial(seed uint64, d defect, steps int) error {
	t := newTrial(seed, d)
	for range steps {
		if t.step(); t.failure != nil {
			return fmt.Errorf("seed %d: %w", seed, t.failure)
		}
	}
	return nil
}

// Messages between instances get lost, doubled and late, clocks drift, slots
// change hands and rates change while tokens are out. Whatever happens, the
// fleet must never let through more than one token bucket would, or a user pays
// for capacity that another organisation takes.
func TestFleetNeverAdmitsAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := runTrial(seed, sound, trialSteps); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestOracleFindsDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"take without debit":       takeWithoutDebit,
		"slot starts full":         slotStartsFull,
		"slot reassigned early":    slotReassignedEarly,
		"lent tokens forgotten":    lentTokensForgotten,
		"life counted from answer": lifeCountedFromAnswer,
		"growth not held back":     growthNotHeldBack,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if err := runTrial(seed, d, defectSteps); err != nil {
					t.Log(err)
					return
				}
			}
			require.Fail(t, "the oracle did not notice")
		})
	}
}
