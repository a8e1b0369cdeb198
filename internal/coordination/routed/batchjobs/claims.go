package batchjobs

import (
	"time"

	"merlintiller/internal/coordination/routed/mesh"
)

// claimsMaxAge is how long the claims are used before they are read again.
const claimsMaxAge = 50 * time.Millisecond

// Claims returns the items that run here, or whose results are being delivered, while
// another instance owns their partition.
func (r *Runner) Claims() []mesh.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var claims []mesh.Claim
	for id, t := range r.tasks {
		if t.replica == nil {
			claims = append(claims, mesh.Claim{Job: id.job, Item: id.item})
		}
	}
	for id := range r.delivering {
		claims = append(claims, mesh.Claim{Job: id.job, Item: id.item})
	}
	return claims
}

// refreshClaims reads the claims of other instances. The caller holds the lock.
func (r *Runner) refreshClaims(now time.Time) {
	if now.Sub(r.claimsReadAt) < claimsMaxAge {
		return
	}
	r.claimsReadAt = now
	r.claimedByPeers = map[itemID]bool{}
	for _, c := range r.opts.Peers.Claims() {
		r.claimedByPeers[itemID{c.Job, c.Item}] = true
	}
}

// inheritedItemTimes returns when items of a partition acquired at a given time may
// start, and until when other instances may claim them.
//
// After a restart of all instances no instance runs anything. Waiting the usual time
// for claims would leave targets idle while items are due within seconds.
func (r *Runner) inheritedItemTimes(now, acquiredAt time.Time) (start, claimsUntil time.Time) {
	for _, p := range r.opts.Peers.Peers() {
		if p.State != mesh.Up {
			continue
		}
		if p.Heartbeat.HasLost || !p.Heartbeat.Young {
			return acquiredAt.Add(claimWait), acquiredAt.Add(claimWait)
		}
	}
	return acquiredAt.Add(restartClaimWait), acquiredAt
}
