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

// Feeders assigns a feeder to each target: the instance that sends batch items to
// it. The feeder is chosen by rendezvous hashing among the instances of the
// target's failure domain, with a limit that gives them about the same number of
// targets each. If the domain has no instance, the feeder is chosen among all
// instances. The assignment is not exclusive. While two instances have different
// lists of members, a target may have two feeders. This only costs speed, because
// the target's load reports show each feeder the items of the other one.
func Feeders(targets []Target, members []Member) map[protocol.TargetID]protocol.InstanceID {
	byDomain := make(map[protocol.Domain][]protocol.InstanceID)
	var all []protocol.InstanceID
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m.Instance)
		all = append(all, m.Instance)
	}
	targetCounts := make(map[protocol.Domain]int)
	for _, t := range targets {
		targetCounts[t.Domain]++
	}
	feeders := make(map[protocol.TargetID]protocol.InstanceID, len(targets))
	localCounts := make(map[protocol.InstanceID]int)
	remoteCounts := make(map[protocol.InstanceID]int)
	for _, t := range targets {
		candidates, counts := byDomain[t.Domain], localCounts
		limit := maxTargetsEach(targetCounts[t.Domain], len(candidates))
		if len(candidates) == 0 {
			// Targets of a domain without instances must not use up the limits
			// of the instances that feed their own domain.
			candidates, counts, limit = all, remoteCounts, len(targets)
		}
		if best := rendezvousChoice(t.ID, candidates, counts, limit); best != "" {
			feeders[t.ID] = best
			counts[best]++
		}
	}
	return feeders
}

// maxTargetsEach returns the limit of targets per instance with which all targets
// get a feeder.
func maxTargetsEach(targets, instances int) int {
	if instances == 0 {
		return 0
	}
	return (targets + instances - 1) / instances
}

// rendezvousChoice returns the candidate with the highest rendezvous hash for a
// target among those that have fewer targets than limit, or "" if there is none.
func rendezvousChoice(target protocol.TargetID, candidates []protocol.InstanceID, counts map[protocol.InstanceID]int, limit int) protocol.InstanceID {
	var best protocol.InstanceID
	var bestScore uint64
	for _, id := range candidates {
		if counts[id] >= limit {
			continue
		}
		score := xxhash.Sum64String(strconv.Quote(string(target)) + string(id))
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}
