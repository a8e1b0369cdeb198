package slots

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// toldEvery is how often instances tell each other what they have at targets.
const toldEvery = 100 * time.Millisecond

// counted has each instance choose by itself, by its own counts and by what the others
// told last.
type counted struct {
	*day
	cores []*placement.Core
	// running are the items of each instance at each target, to be taken back.
	running []map[string][]func() bool
}

func newCounted(p *day) *counted {
	c := &counted{day: p}
	for _, n := range p.nodes {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 1))
		c.cores = append(c.cores, placement.New(placement.Options{Domain: n.domain, Random: random}))
		c.running = append(c.running, map[string][]func() bool{})
	}
	p.clock.Every(toldEvery, c.tell)
	return c
}

// targets implements divider.
func (c *counted) targets(lost map[string]bool) {
	for _, core := range c.cores {
		list := c.listed()[:0:0]
		for _, t := range c.listed() {
			if !lost[t.ID] {
				list = append(list, t)
			}
		}
		core.SetTargets(list)
	}
}

func (c *counted) tell() {
	for i, from := range c.cores {
		held := from.InFlight()
		c.clock.After(farHop, func() {
			for j, to := range c.cores {
				if i != j {
					to.SetPeer(c.nodes[i].name(), held)
				}
			}
		})
	}
	for _, n := range c.nodes {
		c.look(n)
	}
}

// online implements divider.
func (c *counted) online(n *node, arrived time.Time, granted func(slot, bool)) {
	choice, ok := c.cores[n.number].Pick(c.clock.Now(), onlineWant())
	switch {
	case ok:
		if choice.MustPreempt {
			c.takeBack(n, choice.ID)
		}
		granted(c.slot(n, choice), true)
	case c.clock.Now().Sub(arrived) > patience:
		granted(slot{}, false)
	default:
		c.clock.After(lookEvery, func() { c.online(n, arrived, granted) })
	}
}

// takeBack has the instance's own last item at a target yield, if there is one.
func (c *counted) takeBack(n *node, target string) {
	list := c.running[n.number][target]
	yielded := false
	for len(list) > 0 && !yielded {
		yielded = list[len(list)-1]()
		list = list[:len(list)-1]
	}
	c.running[n.number][target] = list
}

func (c *counted) slot(n *node, choice placement.Choice) slot {
	return slot{
		engine:  c.engines[choice.ID],
		release: func() { c.cores[n.number].Done(c.clock.Now(), choice, placement.Served) },
		started: func(yield func() bool) {
			c.running[n.number][choice.ID] = append(c.running[n.number][choice.ID], yield)
		},
	}
}

// look implements divider.
func (c *counted) look(n *node) {
	for n.next() != nil {
		choice, ok := c.cores[n.number].Pick(c.clock.Now(), itemWant())
		if !ok {
			return
		}
		c.begin(n, c.slot(n, choice))
	}
}
