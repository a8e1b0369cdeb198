package routing

import (
	"time"

	"merlintiller/internal/protocol"
)

// pool holds the targets of one service.
type pool struct {
	service protocol.ServiceName
	// slots is the number of slots of each target.
	slots float64
	all   []*target
	// local and remote are the usable targets of the local failure domain and
	// of the other domains, as of the last rebuild.
	local, remote []*target
	// rebuildAt is the earliest time at which an ejection or a leaving timeout
	// ends. It is zero if there is none.
	rebuildAt time.Time
	// ownOnline is the number of this instance's online calls in flight at all
	// targets.
	ownOnline int
	// peerStreamsMean is the mean number of other instances' streams over the
	// reportedTargets targets that have sent a report. peerStreamsSum is the
	// sum from which each report updates the mean.
	peerStreamsSum  float64
	reportedTargets int
	peerStreamsMean float64
}

// rebuild collects the usable targets into local and remote. If the list no
// longer names any target of the service, the last known targets stay in use:
// the list lags, so a missing entry does not prove that a target is down.
func (p *pool) rebuild(now time.Time, o *Options) {
	p.local = p.local[:0]
	p.remote = p.remote[:0]
	p.rebuildAt = time.Time{}
	anyListed := p.anyListed()
	for _, t := range p.all {
		if anyListed && !t.listed {
			continue
		}
		p.addIfUsable(t, now, o)
	}
}

// addIfUsable adds a target to local or remote if it is usable. If an ejection or
// a leaving timeout prevents that, it schedules a rebuild for the end of it.
func (p *pool) addIfUsable(t *target, now time.Time, o *Options) {
	switch {
	case t.health.isEjected(now):
		p.scheduleRebuild(t.health.ejectedUntil)
	case t.listedLeaving:
	case t.isLeaving(now, o):
		p.scheduleRebuild(t.leavingReportedAt.Add(o.LeavingTimeout))
	case t.domain == o.Domain:
		p.local = append(p.local, t)
	default:
		p.remote = append(p.remote, t)
	}
}

func (p *pool) scheduleRebuild(when time.Time) {
	if p.rebuildAt.IsZero() || when.Before(p.rebuildAt) {
		p.rebuildAt = when
	}
}

func (p *pool) anyListed() bool {
	for _, t := range p.all {
		if t.listed {
			return true
		}
	}
	return false
}

// mayEject reports whether one more target may be ejected.
func (p *pool) mayEject(now time.Time, o *Options) bool {
	ejected := 0
	for _, t := range p.all {
		if t.health.isEjected(now) {
			ejected++
		}
	}
	limit := int(o.MaxEjectedShare * float64(len(p.all)))
	if len(p.all) > 1 {
		limit = max(1, limit)
	}
	return ejected < limit
}

// prefixOwner returns the usable target of the local domain with the highest
// rendezvous hash for a prefix, or nil if there is none.
func (p *pool) prefixOwner(prefix uint64) *target {
	var owner *target
	var highest uint64
	for _, t := range p.local {
		if score := mixBits(t.hash ^ prefix); score >= highest {
			owner, highest = t, score
		}
	}
	return owner
}

// meanLoad returns the mean number of online streams per slot.
func (p *pool) meanLoad() float64 {
	if len(p.all) == 0 {
		return 0
	}
	n := float64(len(p.all))
	return (float64(p.ownOnline)/n + p.peerStreamsMean) / p.slots
}

// meanFirstByteExcept returns the mean time to the first byte, in seconds, of
// the targets other than excluded that have SlowMinSamples samples. It returns
// false if there is no such target.
func (p *pool) meanFirstByteExcept(excluded *target, o *Options) (float64, bool) {
	sum, count := 0.0, 0
	for _, t := range p.all {
		if t == excluded || t.health.samples < o.SlowMinSamples {
			continue
		}
		sum += t.health.firstByte
		count++
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// updateReport updates the mean number of other instances' streams after a
// report changed a target's number from before to after. first says that it is
// the target's first report.
func (p *pool) updateReport(first bool, before, after float64) {
	p.peerStreamsSum += after - before
	if first {
		p.reportedTargets++
	}
	p.peerStreamsMean = p.peerStreamsSum / float64(p.reportedTargets)
}

// removeReport removes a target from the mean number of other instances'
// streams.
func (p *pool) removeReport(t *target) {
	if t.reportedAt.IsZero() {
		return
	}
	p.peerStreamsSum -= t.peerStreams
	p.reportedTargets--
	p.peerStreamsMean = 0
	if p.reportedTargets > 0 {
		p.peerStreamsMean = p.peerStreamsSum / float64(p.reportedTargets)
	}
}
