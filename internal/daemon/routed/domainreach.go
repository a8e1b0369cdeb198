package routed

import (
	"sync"
	"time"

	"merlintiller/internal/coordination/routed/mesh"
)

// reachMargin is how much later than the last heartbeat from a failure domain data of a target there
// has to come to show that the domain is reached. Heartbeats and data that were sent right before a
// network partition arrive closer together.
const reachMargin = 2 * time.Second

// domainData remembers when data last came from the targets of each failure domain. Targets that have
// ended leave the list, and their data has to count all the same.
type domainData struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// note records that data came from a failure domain, and returns when it last did.
func (r *domainData) note(domain string, at time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	if at.After(r.last[domain]) {
		r.last[domain] = at
	}
	return r.last[domain]
}

// reachesDomain reports whether this instance reaches a failure domain. It does if another instance
// there is up or none is known. If all are silent, a network partition may lie between, or they are
// down while the targets there go on: data that came after the last heartbeat shows the latter.
// Its own domain it reaches as well while any instance is up.
func (d *Daemon) reachesDomain(domain string) bool {
	known := false
	var heardAt time.Time
	for _, p := range d.mesh.Peers() {
		switch {
		case p.State == mesh.Up && (p.Domain == domain || domain == d.self.Domain):
			return true
		case p.Domain != domain:
		case !known || p.LastSeen.After(heardAt):
			known, heardAt = true, p.LastSeen
		}
	}
	return !known || d.lastData(domain).Sub(heardAt) >= reachMargin
}

// lastData returns when data last came from a target of a failure domain, zero if none has.
func (d *Daemon) lastData(domain string) time.Time {
	var last time.Time
	list, _ := d.view.Targets()
	for _, t := range list {
		if at := d.placer.DataAt(t.ID); t.Domain == domain && at.After(last) {
			last = at
		}
	}
	return d.domainData.note(domain, last)
}
