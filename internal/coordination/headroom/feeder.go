package headroom

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// Member is an instance that may feed targets.
type Member struct {
	Instance protocol.InstanceID
	Domain   protocol.Domain
}

// Feeders says which instance feeds which target with batch items: one of the
// target's own failure domain by rendezvous hash, with even loads, or of any
// domain if its own has none. It is a soft choice: while two instances disagree
// on who exists, a target may have two feeders, which costs speed only, for the
// reported load shows each the other's items.
func Feeders(targets []Target, members []Member) map[protocol.TargetID]protocol.InstanceID {
	byDomain := make(map[protocol.Domain][]protocol.InstanceID)
	var all []protocol.InstanceID
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m.Instance)
		all = append(all, m.Instance)
	}
	count := make(map[protocol.Domain]int)
	for _, t := range targets {
		count[t.Domain]++
	}
	feeders := make(map[protocol.TargetID]protocol.InstanceID, len(targets))
	load := make(map[protocol.InstanceID]int)
	adopted := make(map[protocol.InstanceID]int)
	for _, t := range targets {
		candidates, taken := byDomain[t.Domain], load
		limit := evenShare(count[t.Domain], len(candidates))
		if len(candidates) == 0 {
			candidates, taken, limit = all, adopted, len(targets)
		}
		if best := rendezvous(t.ID, candidates, taken, limit); best != "" {
			feeders[t.ID] = best
			taken[best]++
		}
	}
	return feeders
}

func evenShare(targets, instances int) int {
	if instances == 0 {
		return 0
	}
	return (targets + instances - 1) / instances
}

func rendezvous(target protocol.TargetID, candidates []protocol.InstanceID, load map[protocol.InstanceID]int, limit int) protocol.InstanceID {
	var best protocol.InstanceID
	var bestScore uint64
	for _, id := range candidates {
		if load[id] >= limit {
			continue
		}
		score := xxhash.Sum64String(strconv.Quote(string(target)) + string(id))
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}
