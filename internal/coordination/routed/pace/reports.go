package pace

import "time"

const (
	// reportInterval is the least time between two reports by an instance about one target. Slow
	// phases take several hundred milliseconds, and other instances report too.
	reportInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports of an instance about all targets. A report takes about
	// 150 bytes. In virtual time an instance sends 2 to 3 a second.
	reportsPerSecond = 20
)

// Reports decides which paces an instance reports to brokers: those that differ much from what the
// broker knows. It is not safe for concurrent use.
type Reports struct {
	targets map[string]*knownPace
	// second is the start of the current second of reportsPerSecond, and sent the number of
	// reports in it.
	second time.Time
	sent   int
}

// knownPace is what the broker knows of a target's pace, as far as the instance can tell.
type knownPace struct {
	percent float64
	sentAt  time.Time
}

// NewReports returns the state of an instance that has sent no reports.
func NewReports() *Reports { return &Reports{targets: map[string]*knownPace{}} }

// Stated records the pace that a broker stated with a grant. A broker that states 0 is an earlier
// release, does not use paces, or has not yet got a full report: it is told nothing.
func (r *Reports) Stated(id string, percent float64) {
	known := r.targets[id]
	if known == nil {
		known = &knownPace{}
		r.targets[id] = known
	}
	known.percent = percent
}

// Due reports whether a pace has to be reported now, and if so records the report. known is the
// pace that the broker knew.
func (r *Reports) Due(now time.Time, id string, percent float64) (known float64, due bool) {
	k := r.targets[id]
	if k == nil || !Differ(k.percent, percent) || now.Sub(k.sentAt) < reportInterval {
		return 0, false
	}
	if elapsed := now.Sub(r.second); elapsed < 0 || elapsed >= time.Second {
		r.second, r.sent = now, 0
	}
	if r.sent >= reportsPerSecond {
		return 0, false
	}
	r.sent++
	known = k.percent
	k.percent, k.sentAt = percent, now
	return known, true
}

// Keep removes the targets that keep rejects.
func (r *Reports) Keep(keep func(id string) bool) {
	for id := range r.targets {
		if !keep(id) {
			delete(r.targets, id)
		}
	}
}
