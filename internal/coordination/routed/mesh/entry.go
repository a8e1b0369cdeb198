package mesh

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/coordination/routed/quota"
)

// entry is what is known of one instance.
type entry struct {
	Instance
	beat  Heartbeat
	heard time.Time
	down  bool
	// hash is the part of the instance in the digest.
	hash uint64
	// rank orders the instances of a failure domain as relays.
	rank uint64

	// downAt is when a connection was refused, born when this life started by the
	// steady clock here.
	downAt, born time.Time
	// counts are all that it told of its requests in this life, complete that none is
	// missing. changed are those that were not passed on yet.
	counts, changed quota.Counts
	complete        bool
	// standing is what it told last, moved that it was not passed on yet, introduced
	// that this life was, and dirty that there is anything to pass on.
	standing                 Standing
	moved, introduced, dirty bool
}

func (e *entry) peer(state State) Peer {
	return Peer{Instance: e.Instance, State: state, Heartbeat: e.beat, Heard: e.heard}
}

// quiet says that an instance was not heard for a while.
func (e *entry) quiet(now time.Time) bool { return e.down || now.Sub(e.heard) > SilentAfter }

// uptime is the time since the instance's start.
func (e *entry) uptime(now time.Time) time.Duration {
	if e.born.IsZero() {
		return 0
	}
	return now.Sub(e.born)
}

// refused is the time since a connection was refused, 0 if none was.
func (e *entry) refused(now time.Time) time.Duration {
	if !e.down {
		return 0
	}
	return now.Sub(e.downAt)
}

// note keeps what an instance told, to be passed on.
func (e *entry) note(beat *Heartbeat) {
	e.complete = e.complete || beat.Whole
	for org, count := range beat.Admitted {
		if e.counts[org] == count {
			continue
		}
		if e.changed == nil {
			e.changed = quota.Counts{}
		}
		e.counts[org], e.changed[org] = count, count
		e.dirty = true
	}
	if standing := standingOf(beat); !e.standing.equal(&standing) {
		e.standing, e.moved, e.dirty = standing, true, true
	}
	e.dirty = e.dirty || !e.introduced
}

func hashOf(i Instance) uint64 {
	return xxhash.Sum64String(i.Name + "/" + strconv.FormatInt(i.Start, 10))
}
