package mesh

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// rankOf orders the instances of a failure domain as relays.
func rankOf(i Instance) uint64 { return Rank("relay/"+i.Domain, i) }

// Rank orders instances for a duty that one or a few of them have for others, the
// smallest first: the strongest, and equal ones by rendezvous hashing.
func Rank(duty string, i Instance) uint64 {
	const strengthBits = 8
	weak := uint64(max(0, 1<<strengthBits-1-max(0, i.Strength)))
	return weak<<(64-strengthBits) | xxhash.Sum64String(duty+"/"+i.Name)>>strengthBits
}

// CapacityOf puts processor, in cores, on the scale of Instance.Strength.
func CapacityOf(processor float64) int {
	const step, middle = 1.5, 128
	if processor <= 0 {
		return 0
	}
	return middle + int(math.Round(math.Log(processor)/math.Log(step)))
}
