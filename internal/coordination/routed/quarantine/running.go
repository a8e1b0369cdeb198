package quarantine

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
)

const (
	// maxSuccessors bounds the processes of targets of which the next one is known.
	maxSuccessors = 256
	// runningTimeout bounds the question which process of a target runs, before a request is sent there. Another
	// target can take the request sooner than one that does not answer by then.
	runningTimeout = EndKnownAfter
)

// successor is the process that runs in place of another one.
type successor struct {
	started int64
	toldAt  time.Time
}

// successors holds the processes that have replaced others under the same id. The list of targets tells them with
// the next heartbeat, or much later while the store is away.
type successors struct {
	of map[incarnation]successor
}

// add records that a process runs in place of an incarnation. A full table drops what was told first.
func (f *successors) add(now time.Time, id incarnation, started int64) {
	if id.started == started {
		return
	}
	if _, known := f.of[id]; !known && len(f.of) >= maxSuccessors {
		deleteOldest(f.of, func(told successor) time.Time { return told.toldAt })
	}
	f.of[id] = successor{started, now}
}

// last returns the last of the processes that have replaced an incarnation, one after the other.
func (f *successors) last(id incarnation) incarnation {
	for range maxSuccessors {
		next, known := f.of[id]
		if !known {
			break
		}
		id.started = next.started
	}
	return id
}

func (f *successors) removeExpired(now time.Time) {
	maps.DeleteFunc(f.of, func(_ incarnation, told successor) bool { return now.Sub(told.toldAt) > requestTTL })
}

// running returns the process of a target that runs, as far as it is known, for an incarnation that is listed.
// unknown reports that this one has ended and the next one is not known.
func (e *Evidence) running(listed incarnation) (id incarnation, unknown bool) {
	id = e.successors.last(listed)
	_, ended := e.endTimes.at[id]
	return id, ended
}

// Running returns the start of the process that runs at a target, for an incarnation that is listed, false if none
// answers or works. A request is sent to that process: a target may be back under its id before the list says so, and an end
// of it would be taken for the known one of the process before. The target is asked only if its listed incarnation
// is known to have ended.
func (g *Guard) Running(ctx context.Context, target, address string, listed int64) (started int64, ok bool) {
	if !g.anyEnded.Load() || g.opts.StartOf == nil {
		return listed, true
	}
	g.mu.Lock()
	id, unknown := g.evidence.running(incarnation{target, listed})
	stuck := g.stuck[id]
	g.mu.Unlock()
	switch {
	case stuck:
		return listed, false
	case !unknown:
		return id.started, true
	}
	ctx, cancel := context.WithTimeout(ctx, runningTimeout)
	defer cancel()
	targetProbes.Inc()
	started, err := g.opts.StartOf(ctx, address)
	switch {
	case err != nil:
		return listed, false
	case started == 0 || started == id.started:
		return id.started, true
	}
	g.recordSuccessor(id, started)
	return started, true
}

// ShowsLife reports whether a target has sent data to this instance since some time, or answers now. Any answer will do: a
// process that hangs reads requests all the same.
func (g *Guard) ShowsLife(ctx context.Context, target, address string, since time.Time) bool {
	if g.opts.StartOf == nil || g.opts.DataAt != nil && g.opts.DataAt(target).After(since) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, runningTimeout)
	defer cancel()
	targetProbes.Inc()
	_, err := g.opts.StartOf(ctx, address)
	return err == nil || trace.IsBadParameter(err)
}

// recordSuccessor records that a process runs in place of an incarnation that has ended.
func (g *Guard) recordSuccessor(ended incarnation, started int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evidence.successors.add(time.Now(), ended, started)
	_ = level.Info(g.opts.Logger).Log("event", "target_process_replaced", "target", ended.target, "ended", ended.started, "started", started)
}
