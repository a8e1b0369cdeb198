package mesh

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// rankOf returns the rank of an instance as a relay of its failure domain.
func rankOf(i Instance) uint64 { return Rank("relay/"+i.Domain, i) }

// Rank orders instances for a role that one or a few of them take on for the others, the
// smallest rank first. An instance with a higher capacity ranks before one with a lower
// capacity. Ties are broken by rendezvous hashing.
func Rank(role string, i Instance) uint64 {
	const capacityBits = 8
	inverse := uint64(max(0, 1<<capacityBits-1-max(0, i.Strength)))
	return inverse<<(64-capacityBits) | xxhash.Sum64String(role+"/"+i.Name)>>capacityBits
}

// CapacityOf converts processor capacity in cores to the scale of Instance.Strength.
func CapacityOf(cores float64) int {
	const step, offset = 1.5, 128
	if cores <= 0 {
		return 0
	}
	return offset + int(math.Round(math.Log(cores)/math.Log(step)))
}
