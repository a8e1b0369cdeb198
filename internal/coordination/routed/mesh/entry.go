package mesh

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/routed/quota"
)

// entry is the state kept for one peer.
type entry struct {
	Instance
	heartbeat Heartbeat
	lastSeen  time.Time
	down      bool
	// hash is the peer's contribution to View.digest.
	hash uint64
	// rank orders the instances of a failure domain as relays, the smallest first.
	rank uint64

	// downAt is when a connection was refused. startedAt is when this incarnation started,
	// on the local monotonic clock.
	downAt, startedAt time.Time
	// counts are the admitted requests that the peer has reported in this incarnation.
	// pendingCounts are those that changed since the last feed batch. complete reports that
	// counts includes all organisations.
	counts, pendingCounts quota.Counts
	complete              bool
	// status is the status that the peer reported last, and statusPending reports that it
	// has changed since the last feed batch. announced reports that this incarnation was
	// put into a batch. dirty reports that the next batch must include the peer.
	status                          PeerStatus
	statusPending, announced, dirty bool
}

func (e *entry) peer(state State) Peer {
	return Peer{Instance: e.Instance, State: state, Heartbeat: e.heartbeat, LastSeen: e.lastSeen}
}

// silent reports that the peer is down or has not been seen for SilenceTimeout, the timeout
// by which failure domains are judged in fleets of any size.
func (e *entry) silent(now time.Time) bool { return e.down || now.Sub(e.lastSeen) > SilenceTimeout }

// uptime returns the time since the peer's start, 0 if it is unknown.
func (e *entry) uptime(now time.Time) time.Duration {
	if e.startedAt.IsZero() {
		return 0
	}
	return now.Sub(e.startedAt)
}

// sinceRefused returns the time since a connection was refused, 0 if the peer is not down.
func (e *entry) sinceRefused(now time.Time) time.Duration {
	if !e.down {
		return 0
	}
	return now.Sub(e.downAt)
}

// record stores what the peer reported and marks the changes for the next feed batch.
func (e *entry) record(heartbeat *Heartbeat) {
	e.complete = e.complete || heartbeat.Whole
	for org, count := range heartbeat.Admitted {
		if e.counts[org] == count {
			continue
		}
		if e.pendingCounts == nil {
			e.pendingCounts = quota.Counts{}
		}
		e.counts[org], e.pendingCounts[org] = count, count
		e.dirty = true
	}
	if status := statusOf(heartbeat); !e.status.equal(&status) {
		e.status, e.statusPending, e.dirty = status, true, true
	}
	e.dirty = e.dirty || !e.announced
}

func hashOf(i Instance) uint64 {
	return xxhash.Sum64String(i.Name + "/" + strconv.FormatInt(i.Start, 10))
}
