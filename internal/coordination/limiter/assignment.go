package limiter

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// Assignment names the instance that should hold each slot of a failure domain.
// An entry is empty if there is none.
type Assignment [SlotsPerDomain]protocol.InstanceID

// Assign distributes the slots of a failure domain evenly among its instances.
// A slot stays with its holder unless the holder has more than its even share,
// because a slot that moves loses its refill for a short time. The other slots
// are assigned by rendezvous hash to instances with less than their share.
// Adjacent slots go to different instances where possible: an organisation uses
// adjacent slots, and the loss of one instance should cost it only one of them.
func Assign(domain protocol.Domain, instances []protocol.InstanceID, held Assignment) Assignment {
	a := assigner{domain: domain, instances: instances, slotCount: map[protocol.InstanceID]int{}}
	if len(instances) == 0 {
		return a.assigned
	}
	a.maxSlots = (SlotsPerDomain + len(instances) - 1) / len(instances)
	a.keep(held, true)
	a.keep(held, false)
	for slot := range a.assigned {
		if a.assigned[slot] == "" {
			a.assign(slot, a.choose(slot))
		}
	}
	return a.assigned
}

type assigner struct {
	domain    protocol.Domain
	instances []protocol.InstanceID
	maxSlots  int
	slotCount map[protocol.InstanceID]int
	assigned  Assignment
}

// keep leaves slots with their holders, up to maxSlots for each. With apart
// set, it skips slots that are near another slot of the same holder. Assign
// calls it with apart first, so that a holder with too many slots keeps the
// ones that are far apart.
func (a *assigner) keep(held Assignment, apart bool) {
	for slot, id := range held {
		if a.assigned[slot] != "" || a.slotCount[id] >= a.maxSlots || !slices.Contains(a.instances, id) {
			continue
		}
		if !apart || !a.nearby(slot, id) {
			a.assign(slot, id)
		}
	}
}

func (a *assigner) assign(slot int, id protocol.InstanceID) {
	a.assigned[slot] = id
	a.slotCount[id]++
}

// choose returns an instance with less than its share, preferably one that
// holds no slot nearby. There always is one, because the shares add up to at
// least the number of slots.
func (a *assigner) choose(slot int) protocol.InstanceID {
	var best, bestApart protocol.InstanceID
	var bestHash, bestApartHash uint64
	for _, id := range a.instances {
		if a.slotCount[id] >= a.maxSlots {
			continue
		}
		hash := xxhash.Sum64String(string(a.domain) + "\x00" + strconv.Itoa(slot) + "\x00" + string(id))
		if best == "" || hash > bestHash {
			best, bestHash = id, hash
		}
		if !a.nearby(slot, id) && (bestApart == "" || hash > bestApartHash) {
			bestApart, bestApartHash = id, hash
		}
	}
	if bestApart != "" {
		return bestApart
	}
	return best
}

// nearby reports whether an instance has another slot that an organisation may
// use together with this one.
func (a *assigner) nearby(slot int, id protocol.InstanceID) bool {
	for distance := 1; distance < MaxSlots; distance++ {
		after := (slot + distance) % SlotsPerDomain
		before := (slot - distance + SlotsPerDomain) % SlotsPerDomain
		if a.assigned[after] == id || a.assigned[before] == id {
			return true
		}
	}
	return false
}
