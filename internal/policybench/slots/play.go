package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/policybench/virtual"
)

const (
	// nearHop and farHop are one way between instances and targets of one failure
	// domain and of two, with the time that a message takes at both ends.
	nearHop = 150 * time.Microsecond
	farHop  = 600 * time.Microsecond
	// patience is how long a request waits for a slot until it is refused.
	patience = 2 * time.Second
	// answerTime is taken from the objective for the answer's way.
	answerTime = 60 * time.Millisecond
	// usualItem is the time that an item is thought to take.
	usualItem = 5 * time.Second
	// yieldPause is how long an item waits that gave its slot back.
	yieldPause = 60 * time.Millisecond
	// noticed is how long after a target was lost no instance uses it any more.
	noticed = 500 * time.Millisecond
)

// Result is what came of one or more days.
type Result struct {
	// Asked are online requests, OnTime those of them that were in the objective,
	// Late the others that were served, Refused those that were not taken.
	Asked, OnTime, Late, Refused int
	// Items were due within the day, Done of them in time. Runs counts their runs.
	Items, Done, Runs int
}

// Add sums days up.
func (r *Result) Add(o Result) {
	r.Asked += o.Asked
	r.OnTime += o.OnTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Items += o.Items
	r.Done += o.Done
	r.Runs += o.Runs
}

// OnTimeShare and DoneShare are in parts of one.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(1, r.Asked)) }

// DoneShare is the part of the items that were done in time.
func (r Result) DoneShare() float64 { return float64(r.Done) / float64(max(1, r.Items)) }

// day is one play.
type day struct {
	Deployment
	Trouble
	clock   *virtual.Clock
	random  *rand.Rand
	engines map[string]*engine
	nodes   []*node
	divider divider
	result  Result
}

// divider says which request gets which slot.
type divider interface {
	// online seeks a slot for a request and calls granted once, not ok if it is
	// refused.
	online(n *node, arrived time.Time, granted func(s slot, ok bool))
	// look begins items of an instance as far as there are slots.
	look(n *node)
	// targets takes over which targets may be used.
	targets(lost map[string]bool)
}

// slot is a place at an engine. It is free again after release.
type slot struct {
	engine  *engine
	release func()
	// started is called with the run of an item, so that it can be asked to yield. It
	// does not if it has ended.
	started func(yield func() bool)
}

// node is one instance.
type node struct {
	number  int
	domain  string
	waiting []*item
}

// item is a batch item.
type item struct {
	due          time.Time
	events, made int
}

// Play plays one day by a way of dividing slots.
func Play(d Deployment, t Trouble, way Way, seed uint64) Result {
	p := &day{
		Deployment: d, Trouble: t, clock: virtual.NewClock(), random: rand.New(rand.NewPCG(seed, 17)),
		engines: map[string]*engine{},
	}
	for _, target := range d.listed() {
		p.engines[target.ID] = &engine{clock: p.clock, id: target.ID, domain: target.Domain}
	}
	for i := range d.Instances {
		p.nodes = append(p.nodes, &node{number: i, domain: d.domainOf(i)})
	}
	p.divider = way.divider(p)
	p.divider.targets(nil)
	p.arrive(p.Online, func(at time.Duration) float64 { return p.rate(at) }, p.request)
	p.arrive(p.Deployment.Jobs, p.Trouble.jobs, p.job)
	p.lose()
	p.clock.Run(dayLength + finishTime)
	return p.result
}

// arrive has something come at random moments, at a rate that changes with the day:
// moments are drawn at the largest rate, and some of them are left out.
func (p *day) arrive(perSecond float64, factor func(at time.Duration) float64, come func()) {
	at := p.clock.Now().Sub(virtual.Start)
	if at >= dayLength {
		return
	}
	// most is above every factor of a day.
	const most = 10.0
	gap := time.Duration(p.random.ExpFloat64() / (perSecond * most) * float64(time.Second))
	p.clock.After(gap, func() {
		if p.random.Float64() < factor(p.clock.Now().Sub(virtual.Start))/most {
			come()
		}
		p.arrive(perSecond, factor, come)
	})
}

// lose takes some targets away for a while. They come back empty.
func (p *day) lose() {
	const at, lasts = 26 * time.Second, 5 * time.Second
	gone := map[string]bool{}
	for i := range p.Lost {
		gone[fmt.Sprint("t", i)] = true
	}
	p.clock.After(at, func() {
		for id := range gone {
			p.engines[id].lose()
		}
	})
	p.clock.After(at+noticed, func() { p.divider.targets(gone) })
	p.clock.After(at+lasts, func() {
		for id := range gone {
			p.engines[id].lost = false
		}
		p.divider.targets(nil)
	})
}

func (p *day) hop(n *node, domain string) time.Duration {
	if n.domain == domain {
		return nearHop
	}
	return farHop
}

// request is one online request at a random instance.
func (p *day) request() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	arrived := p.clock.Now()
	length := lengthOf(p.random, onlineLen)
	p.result.Asked++
	p.divider.online(n, arrived, func(s slot, ok bool) {
		if !ok {
			p.result.Refused++
			return
		}
		p.send(n, s, arrived, length)
	})
}

func (p *day) send(n *node, s slot, arrived time.Time, length int) {
	hop := p.hop(n, s.engine.domain)
	served := false
	r := &run{online: true, events: length, unread: promptTokens, ended: s.release}
	r.event = func() {
		if served {
			return
		}
		served = true
		if p.clock.Now().Add(hop).Sub(arrived) <= objective {
			p.result.OnTime++
		} else {
			p.result.Late++
		}
	}
	p.clock.After(hop, func() {
		if !s.engine.offer(r) {
			p.result.Refused++
			s.release()
		}
		if s.engine.lost {
			p.clock.After(objective, s.release)
		}
	})
}

// job is a batch job at a random instance.
func (p *day) job() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	for range jobItems {
		p.result.Items++
		n.waiting = append(n.waiting, &item{due: p.clock.Now().Add(jobDue), events: lengthOf(p.random, itemLen)})
	}
	p.divider.look(n)
}

// next is the item of an instance that should begin first.
func (n *node) next() *item {
	if len(n.waiting) == 0 {
		return nil
	}
	first := n.waiting[0]
	for _, it := range n.waiting {
		if it.due.Before(first.due) {
			first = it
		}
	}
	return first
}

func (it *item) beginBy() time.Time {
	left := float64(it.events-it.made) / float64(it.events)
	return it.due.Add(-time.Duration(left * float64(usualItem)))
}

// begin runs the first item of an instance in a slot.
func (p *day) begin(n *node, s slot) {
	it := n.next()
	if it == nil {
		s.release()
		return
	}
	n.waiting = without(n.waiting, it)
	p.result.Runs++
	r := &run{events: it.events - it.made, unread: promptTokens + it.made*eventTokens}
	r.event = func() { it.made++ }
	r.ended = func() {
		s.release()
		if !p.clock.Now().After(it.due) {
			p.result.Done++
		}
	}
	back := func(after time.Duration) {
		s.engine.leave(r)
		s.release()
		p.clock.After(after, func() {
			n.waiting = append(n.waiting, it)
			p.divider.look(n)
		})
	}
	if s.started != nil {
		s.started(func() bool {
			if r.gone {
				return false
			}
			back(yieldPause)
			return true
		})
	}
	p.clock.After(p.hop(n, s.engine.domain)+connectTime, func() {
		switch {
		case r.gone:
		case s.engine.lost:
			p.clock.After(objective, func() { back(yieldPause) })
		case !s.engine.offer(r):
			back(yieldPause)
		}
	})
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

func onlineWant() placement.Requirements { return placement.Requirements{Service: service} }

func itemWant() placement.Requirements { return placement.Requirements{Service: service, Batch: true} }
