package slots

import (
	"math/rand/v2"
	"time"

	"merlintiller/internal/coordination/routed/placement"
)

// countInterval is the interval at which instances send each other the numbers of
// slots that they hold at targets.
const countInterval = 100 * time.Millisecond

// peerCountSource is the strategy without brokers: each instance chooses slots by its
// own counts and by the counts last received from its peers.
type peerCountSource struct {
	*simulation
	cores []*placement.Core
	// runningItems has the yield functions of the items of each instance at each
	// target.
	runningItems []map[string][]func() bool
}

func newPeerCountSource(sim *simulation) *peerCountSource {
	c := &peerCountSource{simulation: sim}
	for _, inst := range sim.instances {
		random := rand.New(rand.NewPCG(sim.random.Uint64(), 1))
		c.cores = append(c.cores, placement.New(placement.Options{Domain: inst.domain, Random: random}))
		c.runningItems = append(c.runningItems, map[string][]func() bool{})
	}
	sim.clock.Every(countInterval, c.sendCounts)
	return c
}

// setTargets implements slotSource.
func (c *peerCountSource) setTargets(lost map[string]bool) {
	for _, core := range c.cores {
		list := c.targetList()[:0:0]
		for _, t := range c.targetList() {
			if !lost[t.ID] {
				list = append(list, t)
			}
		}
		core.SetTargets(list)
	}
}

// sendCounts sends the counts of each instance to all others and starts waiting items.
func (c *peerCountSource) sendCounts() {
	for i, from := range c.cores {
		held := from.InFlight()
		c.clock.After(crossDomainDelay, func() {
			for j, to := range c.cores {
				if i != j {
					to.SetPeer(c.instances[i].name(), held)
				}
			}
		})
	}
	for _, inst := range c.instances {
		c.startItems(inst)
	}
}

// requestSlot implements slotSource.
func (c *peerCountSource) requestSlot(inst *instance, arrived time.Time, granted func(slot, bool)) {
	choice, ok := c.cores[inst.number].Pick(c.clock.Now(), onlineRequirements())
	switch {
	case ok:
		if choice.MustPreempt {
			c.preemptOwnItem(inst, choice.ID)
		}
		granted(c.slot(inst, choice), true)
	case c.clock.Now().Sub(arrived) > onlineWaitLimit:
		granted(slot{}, false)
	default:
		c.clock.After(pollInterval, func() { c.requestSlot(inst, arrived, granted) })
	}
}

// preemptOwnItem makes the instance's most recently started item at a target yield, if
// there is one.
func (c *peerCountSource) preemptOwnItem(inst *instance, target string) {
	list := c.runningItems[inst.number][target]
	yielded := false
	for len(list) > 0 && !yielded {
		yielded = list[len(list)-1]()
		list = list[:len(list)-1]
	}
	c.runningItems[inst.number][target] = list
}

func (c *peerCountSource) slot(inst *instance, choice placement.Choice) slot {
	return slot{
		engine:  c.engines[choice.ID],
		release: func() { c.cores[inst.number].Done(c.clock.Now(), choice, placement.Served) },
		started: func(yield func() bool) {
			c.runningItems[inst.number][choice.ID] = append(c.runningItems[inst.number][choice.ID], yield)
		},
	}
}

// startItems implements slotSource.
func (c *peerCountSource) startItems(inst *instance) {
	for inst.nextItem() != nil {
		choice, ok := c.cores[inst.number].Pick(c.clock.Now(), itemRequirements())
		if !ok {
			return
		}
		c.startItem(inst, c.slot(inst, choice))
	}
}
