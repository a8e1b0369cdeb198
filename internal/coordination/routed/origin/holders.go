package origin

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/routed/mesh"
)

// buckets is the number of groups of streams with the same holders. It bounds the number of
// instances of a failure domain to which all others keep connections.
const buckets = 8

// holders returns the instances that keep the record of a stream: in each failure domain the
// first ones by rank. With a single domain there is one more, so that the record survives the
// loss of any instance.
func holders(list []mesh.Instance, stream string, perDomain int) []mesh.Instance {
	role := "origin/" + strconv.FormatUint(xxhash.Sum64String(stream)%buckets, 10)
	byDomain := map[string][]mesh.Instance{}
	for _, i := range list {
		byDomain[i.Domain] = append(byDomain[i.Domain], i)
	}
	if len(byDomain) == 1 {
		perDomain++
	}
	var out []mesh.Instance
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		members := byDomain[domain]
		slices.SortFunc(members, func(a, b mesh.Instance) int {
			return cmp.Compare(mesh.Rank(role, a), mesh.Rank(role, b))
		})
		out = append(out, members[:min(perDomain, len(members))]...)
	}
	return out
}
