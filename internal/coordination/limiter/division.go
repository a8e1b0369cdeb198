package limiter

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// SlotKey names a slot of a failure domain.
type SlotKey struct {
	Domain protocol.Domain
	Slot   int
}

// Resource is the lease under which the slot is held.
func (k SlotKey) Resource() protocol.Resource {
	return protocol.Resource(fmt.Sprintf("rate/%s/%d", k.Domain, k.Slot))
}

// Part is what one slot holds of an organisation's rate and burst.
type Part struct {
	Key SlotKey
	// Rate is in tokens a second, Burst in tokens.
	Rate, Burst float64
}

// Divide cuts an organisation's rate and burst over the slots of all failure
// domains. Every instance computes the same parts from the same configuration,
// and their sums are never above the organisation's own.
//
// Slots grant whole tokens, so burst is cut into whole tokens where it can be:
// an organisation with burst 1 has it in one domain, and callers elsewhere
// reach it while the domains reach each other.
func Divide(org protocol.Organisation, domains map[protocol.Domain]protocol.DomainShare) []Part {
	names := domainNames(domains)
	if len(names) == 0 || org.Rate <= 0 || org.Burst <= 0 {
		return nil
	}
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = domains[name].Share
	}
	bursts := apportion(org.Burst, weights, func(i int) uint64 {
		return xxhash.Sum64String(string(org.ID) + "\x00" + string(names[i]))
	})
	var parts []Part
	for i, name := range names {
		parts = append(parts, divideDomain(org, name, bursts[i])...)
	}
	return parts
}

func domainNames(domains map[protocol.Domain]protocol.DomainShare) []protocol.Domain {
	names := make([]protocol.Domain, 0, len(domains))
	for name, share := range domains {
		if share.Share > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func divideDomain(org protocol.Organisation, domain protocol.Domain, burst float64) []Part {
	if burst <= 0 {
		return nil
	}
	count := min(max(int(burst/MinSlotBurst), 1), MaxSlots)
	weights := make([]float64, count)
	for i := range weights {
		weights[i] = 1
	}
	bursts := apportion(burst, weights, func(i int) uint64 { return uint64(i) })
	// Neighbouring slots go to different holders, see Assign.
	first := int(xxhash.Sum64String(string(org.ID)+"\x00"+string(domain)) % SlotsPerDomain)
	parts := make([]Part, 0, count)
	for i, b := range bursts {
		key := SlotKey{Domain: domain, Slot: (first + i) % SlotsPerDomain}
		parts = append(parts, Part{Key: key, Rate: org.Rate * b / org.Burst, Burst: b})
	}
	return parts
}

// apportion cuts an amount by weights into whole numbers, by largest
// remainder, ties by rank. What the amount has beyond a whole number goes to
// the largest piece.
func apportion(amount float64, weights []float64, rank func(int) uint64) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	whole := math.Floor(amount)
	pieces := make([]float64, len(weights))
	remainders := make([]float64, len(weights))
	left := whole
	for i, w := range weights {
		exact := whole * w / sum
		pieces[i] = math.Floor(exact)
		remainders[i] = exact - pieces[i]
		left -= pieces[i]
	}
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if c := cmp.Compare(remainders[b], remainders[a]); c != 0 {
			return c
		}
		return cmp.Compare(rank(a), rank(b))
	})
	for i := 0; left >= 1; i++ {
		pieces[order[i%len(order)]]++
		left--
	}
	largest := order[0]
	for i := range pieces {
		if pieces[i] > pieces[largest] {
			largest = i
		}
	}
	pieces[largest] += amount - whole
	return pieces
}
