package routing

import (
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// target is what the core knows of one target.
type target struct {
	id      protocol.TargetID
	address string
	domain  protocol.Domain
	hash    uint64
	pool    *pool
	slots   float64

	// online and batch count own calls in flight.
	online, batch int
	// batchElsewhere counts the batch items that another instance has there.
	batchElsewhere int
	// reported is the target's last report, as of reportedAt; others is the
	// part of it that other instances sent.
	reportedAt time.Time
	reported   int
	others     float64
	history    flightHistory

	// listed says that the platform's list names the target.
	listed bool
	// listedLeaving is the platform's word, saidLeaving the target's own.
	listedLeaving bool
	saidLeaving   time.Time

	health health
}

func (t *target) leaving(now time.Time, o *Options) bool {
	if t.listedLeaving {
		return true
	}
	return !t.saidLeaving.IsZero() && now.Sub(t.saidLeaving) < o.LeavingFor
}

// load is the estimated number of online streams per slot at the target. Batch
// items fill what online calls leave free and yield to them: counted in, they
// would make all targets look alike, and online calls would gather at some.
func (t *target) load(now time.Time, o *Options) float64 {
	return (float64(t.online) + t.othersNow(now, o)) / t.slots
}

// freshly reports whether the last report is young enough to bound what a
// prefix draws to the target.
//
// What goes wrong without it: each of hundreds of instances has hardly one call
// of a popular prefix at the target, so own counts show nothing; without the
// reports the target gets them all and their tail grows.
func (t *target) freshly(now time.Time, o *Options) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= o.AffinityFresh
}

// othersNow blends the target's report with the mean over the pool by the age
// of the report: fresh news counts for itself, old news is only as good as an
// average.
func (t *target) othersNow(now time.Time, o *Options) float64 {
	mean := t.pool.meanOthers
	if t.reportedAt.IsZero() {
		return mean
	}
	age := now.Sub(t.reportedAt)
	if age <= 0 {
		return t.others
	}
	weight := float64(o.ReportHalfLife) / float64(o.ReportHalfLife+age)
	return weight*t.others + (1-weight)*mean
}

// report takes in a load report. The own calls that the report counted are
// taken out, as of the time that the report speaks of.
func (t *target) report(now time.Time, load external.Load) {
	at := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	if at.Before(t.reportedAt) {
		return
	}
	own := t.history.at(at)
	t.reportedAt = at
	t.reported = load.Running + load.Waiting
	t.others = max(0, float64(load.Running+load.Waiting-own-t.batchElsewhere))
	if load.Leaving {
		t.saidLeaving = now
	}
}

// flightHistory remembers the own calls in flight of the last seconds, so that
// a report from then can be corrected for them.
type flightHistory struct {
	times  [historyLength]time.Time
	counts [historyLength]int
	next   int
}

const (
	historyLength = 32
	// historyStep is the least time between two entries: a report is matched
	// to own calls no finer than this.
	historyStep = 125 * time.Millisecond
)

func (h *flightHistory) note(now time.Time, count int) {
	last := (h.next + historyLength - 1) % historyLength
	if now.Sub(h.times[last]) < historyStep {
		h.counts[last] = count
		return
	}
	h.times[h.next] = now
	h.counts[h.next] = count
	h.next = (h.next + 1) % historyLength
}

// at is the count as of a time: the last one noted at or before it.
func (h *flightHistory) at(when time.Time) int {
	for i := 1; i <= historyLength; i++ {
		k := (h.next + historyLength - i) % historyLength
		if h.times[k].IsZero() {
			return 0
		}
		if !h.times[k].After(when) {
			return h.counts[k]
		}
	}
	return h.counts[h.next]
}
