package routing

import (
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// target is the state of one target in Core.
type target struct {
	id      protocol.TargetID
	address string
	domain  protocol.Domain
	version string
	hash    uint64
	pool    *pool
	slots   float64

	// online and batch are the numbers of this instance's calls in flight.
	online, batch int
	// peerBatchItems is the number of batch items that other instances have at
	// the target.
	peerBatchItems int
	// reportedStreams is the number of streams in the last report, and
	// reportedAt the time for which the report is valid. peerStreams is the
	// number of online streams of other instances among them.
	reportedAt      time.Time
	reportedStreams int
	peerStreams     float64
	history         inFlightHistory

	// listed says that the platform's list names the target.
	listed bool
	// listedLeaving says that the platform's list marks the target as leaving.
	listedLeaving bool
	// leavingReportedAt is when the target itself last reported that it is
	// leaving.
	leavingReportedAt time.Time

	health health
}

func (t *target) isLeaving(now time.Time, o *Options) bool {
	if t.listedLeaving {
		return true
	}
	return !t.leavingReportedAt.IsZero() && now.Sub(t.leavingReportedAt) < o.LeavingTimeout
}

// load returns the estimated number of online streams per slot at the target.
// Batch items are not counted. They fill the slots that online calls leave free
// and yield to online calls, so with them all targets would look equally loaded
// and online calls would be spread unevenly.
func (t *target) load(now time.Time, o *Options) float64 {
	return (float64(t.online) + t.estimatedPeerStreams(now, o)) / t.slots
}

// hasFreshReport reports whether the last load report is recent enough for
// prefix affinity to the target.
//
// With hundreds of instances, each instance has at most about one call of a
// popular prefix at the target, so its own count does not show the target's
// load. Without a recent report, the target would get all calls with the prefix
// and their tail latency would grow.
func (t *target) hasFreshReport(now time.Time, o *Options) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= o.AffinityReportMaxAge
}

// estimatedPeerStreams returns the estimated number of online streams that other
// instances have at the target. It is a weighted mean of the target's report and
// the mean over the pool. The weight of the report falls with its age, because an
// old report says little more about the target than the mean does.
func (t *target) estimatedPeerStreams(now time.Time, o *Options) float64 {
	mean := t.pool.peerStreamsMean
	if t.reportedAt.IsZero() {
		return mean
	}
	age := now.Sub(t.reportedAt)
	if age <= 0 {
		return t.peerStreams
	}
	weight := float64(o.ReportHalfLife) / float64(o.ReportHalfLife+age)
	return weight*t.peerStreams + (1-weight)*mean
}

// applyReport updates the target from a load report. It subtracts the calls that
// this instance had in flight at the time for which the report is valid, and the
// batch items of other instances. It ignores a report that is older than the
// last one.
func (t *target) applyReport(now time.Time, load external.Load) {
	at := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	if at.Before(t.reportedAt) {
		return
	}
	own := t.history.countAt(at)
	t.reportedAt = at
	t.reportedStreams = load.Running + load.Waiting
	t.peerStreams = max(0, float64(load.Running+load.Waiting-own-t.peerBatchItems))
	if load.Leaving {
		t.leavingReportedAt = now
	}
}

// inFlightHistory holds the number of this instance's calls in flight over the
// last seconds, so that they can be subtracted from a report that lags.
type inFlightHistory struct {
	times  [historyLength]time.Time
	counts [historyLength]int
	next   int
}

const (
	historyLength = 32
	// minHistoryInterval is the minimum time between two entries. It limits the
	// precision with which a report is matched to this instance's calls.
	minHistoryInterval = 125 * time.Millisecond
)

func (h *inFlightHistory) record(now time.Time, count int) {
	last := (h.next + historyLength - 1) % historyLength
	if now.Sub(h.times[last]) < minHistoryInterval {
		h.counts[last] = count
		return
	}
	h.times[h.next] = now
	h.counts[h.next] = count
	h.next = (h.next + 1) % historyLength
}

// countAt returns the count at a time: the last one recorded at or before it. If
// all entries are later, it returns the oldest one.
func (h *inFlightHistory) countAt(at time.Time) int {
	for i := 1; i <= historyLength; i++ {
		k := (h.next + historyLength - i) % historyLength
		if h.times[k].IsZero() {
			return 0
		}
		if !h.times[k].After(at) {
			return h.counts[k]
		}
	}
	return h.counts[h.next]
}
