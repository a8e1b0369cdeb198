package slots

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/broker"
	"merlintiller/internal/coordination/routed/placement"
	"merlintiller/internal/state/roster"
)

const (
	// waitChunk and itemWait are how long a request and an item wait at one broker.
	waitChunk = 100 * time.Millisecond
	itemWait  = 200 * time.Millisecond
	lookEvery = 20 * time.Millisecond
)

// brokered divides slots by a broker for each failure domain, or by one for all.
type brokered struct {
	*day
	way     Way
	desks   map[string]*desk
	number  uint64
	yields  map[uint64]func() bool
	seeking map[seeker]bool
}

type seeker struct {
	node   int
	domain string
}

// desk is one broker with the decisions of the real one.
type desk struct {
	*brokered
	domain   string
	allotter *broker.SlotAllocator
	asked    map[*broker.Waiter]func(grant broker.Grant, ok bool)
	looking  bool
}

// everywhere is the domain of a broker for all.
const everywhere = "all"

func newBrokered(p *day, way Way) *brokered {
	b := &brokered{day: p, way: way, desks: map[string]*desk{}, yields: map[uint64]func() bool{}, seeking: map[seeker]bool{}}
	for _, name := range b.domains() {
		core := placement.New(placement.Options{Domain: name, Random: rand.New(rand.NewPCG(p.random.Uint64(), 1))})
		d := &desk{brokered: b, domain: name, allotter: broker.NewSlotAllocator(core), asked: map[*broker.Waiter]func(broker.Grant, bool){}}
		d.allotter.PauseAfterYield, d.allotter.ReserveAfterYield = way.Calm, way.SpareFor
		b.desks[name] = d
	}
	return b
}

func (b *brokered) domains() []string {
	if b.way.AllSeeing {
		return []string{everywhere}
	}
	var names []string
	for i := range b.Domains {
		names = append(names, b.domainOf(i))
	}
	return names
}

// order is the domains as an instance asks them.
func (b *brokered) order(n *node) []string {
	names := b.domains()
	for i, name := range names {
		if name == n.domain {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names
}

// targets implements divider.
func (b *brokered) targets(lost map[string]bool) {
	for _, name := range b.domains() {
		d := b.desks[name]
		var list []roster.Target
		for _, t := range b.listed() {
			if !lost[t.ID] && (b.way.AllSeeing || t.Domain == name) {
				list = append(list, t)
			}
		}
		d.allotter.SetTargets(list)
		d.serve()
	}
}

func (b *brokered) messageTime(n *node, d *desk) time.Duration {
	if b.way.AllSeeing {
		return 0
	}
	return b.hop(n, d.domain)
}

// online implements divider: the own domain's broker first, then the others, then to
// wait in the line of the own one.
func (b *brokered) online(n *node, arrived time.Time, granted func(slot, bool)) {
	b.try(n, b.order(n), arrived, granted)
}

func (b *brokered) try(n *node, left []string, arrived time.Time, granted func(slot, bool)) {
	wait := time.Duration(0)
	if len(left) == 0 {
		left, wait = b.order(n)[:1], waitChunk
	}
	d := b.desks[left[0]]
	ask := broker.PlaceRequest{Want: onlineWant(), OnTimeIn: arrived.Add(objective - answerTime).Sub(b.clock.Now()), Age: b.clock.Now().Sub(arrived)}
	if b.way.InOrder {
		ask.OnTimeIn = time.Hour - ask.Age
	}
	b.ask(n, d, ask, wait, func(s slot, ok bool) {
		switch {
		case ok:
			granted(s, true)
		case wait == 0:
			b.try(n, left[1:], arrived, granted)
		case b.clock.Now().Sub(arrived) > patience:
			granted(slot{}, false)
		default:
			b.try(n, b.order(n), arrived, granted)
		}
	})
}

// ask sends an ask to a broker and brings its answer back.
func (b *brokered) ask(n *node, d *desk, ask broker.PlaceRequest, wait time.Duration, answer func(slot, bool)) {
	hop := b.messageTime(n, d)
	b.number++
	ask.Number, ask.Instance = b.number, n.name()
	b.clock.After(hop, func() {
		d.enter(ask, wait, func(grant broker.Grant, ok bool) {
			b.clock.After(hop, func() { answer(b.slot(n, d, grant), ok) })
		})
	})
}

func (n *node) name() string { return string(rune('a' + n.number)) }

// slot is what an instance has of a grant.
func (b *brokered) slot(n *node, d *desk, grant broker.Grant) slot {
	number := grant.Number
	return slot{
		engine: b.engines[grant.Target.ID],
		release: func() {
			delete(b.yields, number)
			b.clock.After(b.messageTime(n, d), func() {
				d.allotter.ApplyReport(b.clock.Now(), broker.HoldReport{Instance: n.name(), Released: []uint64{number}})
				d.serve()
			})
		},
		started: func(yield func() bool) { b.yields[number] = yield },
	}
}

// look implements divider: a seeker for each domain.
func (b *brokered) look(n *node) {
	for _, name := range b.order(n) {
		b.seek(n, name)
	}
}

func (b *brokered) seek(n *node, name string) {
	key := seeker{n.number, name}
	it := n.next()
	if it == nil || b.seeking[key] {
		return
	}
	b.seeking[key] = true
	ask := broker.PlaceRequest{
		Want: itemWant(), Due: it.due.UnixMilli(), OnTimeIn: it.beginBy().Sub(b.clock.Now()), Lasts: usualItem,
	}
	b.ask(n, b.desks[name], ask, itemWait, func(s slot, ok bool) {
		b.seeking[key] = false
		if ok {
			b.begin(n, s)
		}
		b.seek(n, name)
	})
}

// enter puts an ask into the line for as long as it waits.
func (d *desk) enter(ask broker.PlaceRequest, wait time.Duration, answer func(broker.Grant, bool)) {
	w := d.allotter.Enqueue(d.clock.Now(), &ask)
	d.asked[w] = answer
	d.serve()
	d.clock.After(wait, func() {
		if d.asked[w] == nil {
			return
		}
		d.allotter.Dequeue(w)
		delete(d.asked, w)
		answer(broker.Grant{}, false)
	})
}

// serve gives slots to those who wait.
func (d *desk) serve() {
	for _, a := range d.allotter.Allocate(d.clock.Now()) {
		answer := d.asked[a.Waiter]
		delete(d.asked, a.Waiter)
		answer(a.Grant, true)
		if a.MustYield {
			d.clock.After(d.yieldTime(), func() {
				if yield := d.yields[a.Yield.Number]; yield != nil {
					yield()
				}
			})
		}
	}
	if d.looking || d.allotter.Waiting() == 0 {
		return
	}
	d.looking = true
	d.clock.After(lookEvery, func() {
		d.looking = false
		d.serve()
	})
}

func (d *desk) yieldTime() time.Duration {
	if d.way.AllSeeing {
		return 0
	}
	return farHop
}
