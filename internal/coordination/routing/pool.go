package routing

import (
	"time"

	"merlintiller/internal/protocol"
)

// pool is the targets of one service.
type pool struct {
	service protocol.ServiceName
	slots   float64
	all     []*target
	// local and remote are the usable targets of the own and of the other
	// failure domains, as of the last rebuild.
	local, remote []*target
	// recheck is when the next ejection ends; zero if there is none.
	recheck time.Time
	// own counts own calls in flight at all targets.
	own int
	// sumOthers and reports keep meanOthers up to date at each report.
	sumOthers  float64
	reports    int
	meanOthers float64
}

// rebuild sorts the targets into the usable ones. If the list names none of
// the service any more, the last known ones stay in use: the list lags and is
// no proof of death.
func (p *pool) rebuild(now time.Time, o *Options) {
	p.local = p.local[:0]
	p.remote = p.remote[:0]
	p.recheck = time.Time{}
	anyListed := p.anyListed()
	for _, t := range p.all {
		if anyListed && !t.listed {
			continue
		}
		p.place(t, now, o)
	}
}

func (p *pool) place(t *target, now time.Time, o *Options) {
	switch {
	case t.health.ejected(now):
		p.recheckAt(t.health.until)
	case t.listedLeaving:
	case t.leaving(now, o):
		p.recheckAt(t.saidLeaving.Add(o.LeavingFor))
	case t.domain == o.Domain:
		p.local = append(p.local, t)
	default:
		p.remote = append(p.remote, t)
	}
}

func (p *pool) recheckAt(when time.Time) {
	if p.recheck.IsZero() || when.Before(p.recheck) {
		p.recheck = when
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
		if t.health.ejected(now) {
			ejected++
		}
	}
	most := int(o.MaxEjectedShare * float64(len(p.all)))
	if len(p.all) > 1 {
		most = max(1, most)
	}
	return ejected < most
}

// owner is the target of the own domain with the highest rendezvous hash for a
// prefix.
func (p *pool) owner(prefix uint64) *target {
	var owner *target
	var highest uint64
	for _, t := range p.local {
		if score := mix(t.hash ^ prefix); score >= highest {
			owner, highest = t, score
		}
	}
	return owner
}

// meanLoad is the mean number of streams per slot.
func (p *pool) meanLoad() float64 {
	if len(p.all) == 0 {
		return 0
	}
	n := float64(len(p.all))
	return (float64(p.own)/n + p.meanOthers) / p.slots
}

// othersMean is the mean time to the first byte of the other targets that
// have samples enough, and whether there is any.
func (p *pool) othersMean(one *target, o *Options) (float64, bool) {
	sum, count := 0.0, 0
	for _, t := range p.all {
		if t == one || t.health.samples < o.SlowSamples {
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

// replaceReport updates the mean of what other instances send.
func (p *pool) replaceReport(first bool, before, after float64) {
	p.sumOthers += after - before
	if first {
		p.reports++
	}
	p.meanOthers = p.sumOthers / float64(p.reports)
}

// forgetReport takes a target that is gone out of the mean.
func (p *pool) forgetReport(t *target) {
	if t.reportedAt.IsZero() {
		return
	}
	p.sumOthers -= t.others
	p.reports--
	p.meanOthers = 0
	if p.reports > 0 {
		p.meanOthers = p.sumOthers / float64(p.reports)
	}
}
