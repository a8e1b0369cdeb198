package batchjobs

import (
	"time"

	"merlintiller/internal/coordination/routed/mesh"
)

// claimsFresh is how long a look at the claims counts.
const claimsFresh = 50 * time.Millisecond

// Claims gives the items that run here though their partition is held elsewhere.
func (r *Runner) Claims() []mesh.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var claims []mesh.Claim
	for id, t := range r.tasks {
		if t.home == nil {
			claims = append(claims, mesh.Claim{Job: id.job, Item: id.item})
		}
	}
	for id := range r.delivering {
		claims = append(claims, mesh.Claim{Job: id.job, Item: id.item})
	}
	return claims
}

// readClaims takes over what other instances say that they run.
func (r *Runner) readClaims(now time.Time) {
	if now.Sub(r.claimedAt) < claimsFresh {
		return
	}
	r.claimedAt = now
	r.claimed = map[itemID]bool{}
	for _, c := range r.opts.Peers.Claims() {
		r.claimed[itemID{c.Job, c.Item}] = true
	}
}

// takeOver says until when items of a partition that came here at a time wait to be
// begun, and until when another instance may claim that it runs them.
//
// The load it answers: all instances were killed and start again. Nobody can run
// anything, and items that are due within seconds would wait for claims that nobody
// makes, beside targets that are idle.
func (r *Runner) takeOver(now, held time.Time) (begin, claims time.Time) {
	for _, p := range r.opts.Peers.Peers() {
		if p.State != mesh.Up {
			continue
		}
		if p.Heartbeat.HasLost || !p.Heartbeat.Young {
			return held.Add(claimWait), held.Add(claimWait)
		}
	}
	return held.Add(startWait), held
}
