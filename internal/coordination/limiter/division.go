package limiter

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// SlotKey identifies a slot of a failure domain.
type SlotKey struct {
	Domain protocol.Domain
	Slot   int
}

// Resource returns the name of the lease under which the slot is held.
func (k SlotKey) Resource() protocol.Resource {
	return protocol.Resource(fmt.Sprintf("rate/%s/%d", k.Domain, k.Slot))
}

// Quota is the share of an organisation's rate and burst that one slot has.
type Quota struct {
	Key SlotKey
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// Divide divides an organisation's rate and burst among slots of all failure
// domains. Every instance computes the same quotas from the same configuration,
// and their sums never exceed the organisation's rate and burst.
//
// Grants are whole tokens, so the burst is divided into whole tokens where
// possible. An organisation with a burst of 1 has it in one domain, and callers
// in other domains can use it as long as the domains can reach each other.
func Divide(org protocol.Organisation, domains map[protocol.Domain]protocol.DomainShare) []Quota {
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
	var quotas []Quota
	for i, name := range names {
		quotas = append(quotas, divideDomain(org, name, bursts[i])...)
	}
	return quotas
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

func divideDomain(org protocol.Organisation, domain protocol.Domain, burst float64) []Quota {
	if burst <= 0 {
		return nil
	}
	count := min(max(int(burst/MinSlotBurst), 1), MaxSlots)
	weights := make([]float64, count)
	for i := range weights {
		weights[i] = 1
	}
	bursts := apportion(burst, weights, func(i int) uint64 { return uint64(i) })
	// Adjacent slots have different holders, see Assign.
	first := int(xxhash.Sum64String(string(org.ID)+"\x00"+string(domain)) % SlotsPerDomain)
	quotas := make([]Quota, 0, count)
	for i, b := range bursts {
		key := SlotKey{Domain: domain, Slot: (first + i) % SlotsPerDomain}
		quotas = append(quotas, Quota{Key: key, Rate: org.Rate * b / org.Burst, Burst: b})
	}
	return quotas
}

// apportion divides an amount by weights into whole numbers, by the largest
// remainder method. Ties are decided by rank. The fractional part of the amount
// goes to the largest piece.
func apportion(amount float64, weights []float64, rank func(int) uint64) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	whole := math.Floor(amount)
	pieces := make([]float64, len(weights))
	remainders := make([]float64, len(weights))
	remaining := whole
	for i, w := range weights {
		exact := whole * w / sum
		pieces[i] = math.Floor(exact)
		remainders[i] = exact - pieces[i]
		remaining -= pieces[i]
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
	for i := 0; remaining >= 1; i++ {
		pieces[order[i%len(order)]]++
		remaining--
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
