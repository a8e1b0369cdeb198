package limiter

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// Assignment says which instance should hold each slot of a failure domain.
type Assignment [SlotsPerDomain]protocol.InstanceID

// Assign leaves slots where they are, except the ones that a holder has beyond
// its even part, since a slot that moves loses its refill for a moment. The
// others go to instances with less than their part, by rendezvous hash, and not
// beside a slot of the same instance: an organisation has neighbouring slots,
// and a death should cost it one of them only.
func Assign(domain protocol.Domain, instances []protocol.InstanceID, held Assignment) Assignment {
	a := assigner{domain: domain, instances: instances, load: map[protocol.InstanceID]int{}}
	if len(instances) == 0 {
		return a.wanted
	}
	a.limit = (SlotsPerDomain + len(instances) - 1) / len(instances)
	a.keep(held, true)
	a.keep(held, false)
	for slot := range a.wanted {
		if a.wanted[slot] == "" {
			a.give(slot, a.choose(slot))
		}
	}
	return a.wanted
}

type assigner struct {
	domain    protocol.Domain
	instances []protocol.InstanceID
	limit     int
	load      map[protocol.InstanceID]int
	wanted    Assignment
}

// keep leaves slots with their holders. Of a holder that has too many, those
// that lie apart are kept first.
func (a *assigner) keep(held Assignment, apart bool) {
	for slot, id := range held {
		if a.wanted[slot] != "" || a.load[id] >= a.limit || !slices.Contains(a.instances, id) {
			continue
		}
		if !apart || !a.nearby(slot, id) {
			a.give(slot, id)
		}
	}
}

func (a *assigner) give(slot int, id protocol.InstanceID) {
	a.wanted[slot] = id
	a.load[id]++
}

// choose prefers an instance that holds no slot nearby, and else takes any with
// less than its part. There always is one: the parts add up to all slots.
func (a *assigner) choose(slot int) protocol.InstanceID {
	var best, bestFar protocol.InstanceID
	var score, scoreFar uint64
	for _, id := range a.instances {
		if a.load[id] >= a.limit {
			continue
		}
		s := xxhash.Sum64String(string(a.domain) + "\x00" + strconv.Itoa(slot) + "\x00" + string(id))
		if best == "" || s > score {
			best, score = id, s
		}
		if !a.nearby(slot, id) && (bestFar == "" || s > scoreFar) {
			bestFar, scoreFar = id, s
		}
	}
	if bestFar != "" {
		return bestFar
	}
	return best
}

// nearby reports whether an instance holds a slot that an organisation may use
// together with this one.
func (a *assigner) nearby(slot int, id protocol.InstanceID) bool {
	for distance := 1; distance < MaxSlots; distance++ {
		after := (slot + distance) % SlotsPerDomain
		before := (slot - distance + SlotsPerDomain) % SlotsPerDomain
		if a.wanted[after] == id || a.wanted[before] == id {
			return true
		}
	}
	return false
}
