package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/routed/mesh"
)

const (
	// toldDomains is the number of failure domains with an instance that is sent a record: that
	// in which the stream began, since its callers come back there, and others, since the whole
	// domain may be lost.
	toldDomains = 3
	// askedPerDomain is the number of instances of each failure domain that are asked for a
	// record. The first one by rank may have changed since it was sent.
	askedPerDomain = 2
)

// ranked is an instance with its rank for one stream. The smallest ranks come first.
type ranked struct {
	mesh.Instance
	rank uint64
}

// rankFor orders instances by their rank for a stream, the same at each instance (rendezvous
// hashing).
func rankFor(list []mesh.Instance, stream string) []ranked {
	out := make([]ranked, len(list))
	hash := xxhash.Sum64String(stream)
	for i, instance := range list {
		out[i] = ranked{instance, mix(hash ^ xxhash.Sum64String(instance.Name))}
	}
	slices.SortFunc(out, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

// mix spreads the bits of a hash (splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// toldHolders returns the instances that are sent the record of a stream which begins in a failure
// domain: one of that domain, and one of each of the domains that come first. If there are fewer
// domains, further instances take the place of the missing ones, so that the record survives the
// loss of any instance.
func toldHolders(list []mesh.Instance, stream, domain string) (out []mesh.Instance) {
	order := rankFor(list, stream)
	has := map[string]bool{}
	add := func(i mesh.Instance) {
		has[i.Domain] = true
		out = append(out, i)
	}
	for _, candidate := range order {
		if candidate.Domain == domain && !has[domain] {
			add(candidate.Instance)
		}
	}
	for _, candidate := range order {
		if len(out) < toldDomains && !has[candidate.Domain] {
			add(candidate.Instance)
		}
	}
	if len(out) == 1 && len(order) > 1 {
		out = append(out, order[1].Instance)
	}
	return out
}

// askedHolders returns the instances that are asked for the record of a stream.
func askedHolders(list []mesh.Instance, stream string) (out []mesh.Instance) {
	count := map[string]int{}
	for _, candidate := range rankFor(list, stream) {
		if count[candidate.Domain] < askedPerDomain {
			count[candidate.Domain]++
			out = append(out, candidate.Instance)
		}
	}
	return out
}
