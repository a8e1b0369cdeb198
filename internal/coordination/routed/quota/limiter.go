package quota

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/state/route"
)

// Limiter is a Buckets that is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets *Buckets
}

// NewLimiter returns the limiter of an instance that starts now.
func NewLimiter(instance string) *Limiter {
	l := &Limiter{buckets: NewBuckets(time.Now(), instance)}
	metrics.RegisterMetricsWriter(l.writeLevels)
	return l
}

// maxLevelMetrics limits the number of buckets shown as metrics. The emptiest ones are
// shown.
const maxLevelMetrics = 100

// writeLevels writes the levels of the buckets that are not full as metrics.
func (l *Limiter) writeLevels(w io.Writer) {
	levels := l.BucketLevels()
	metrics.WriteGaugeFloat64(w, "rate_levels_wait_seconds", l.LevelsStart().Wait.Seconds())
	names := slices.SortedFunc(maps.Keys(levels), func(a, b string) int {
		return cmp.Or(cmp.Compare(levels[a], levels[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxLevelMetrics)] {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("rate_left{organisation=%q}", name), levels[name])
	}
}

// SetOrganisations applies the limits of a version of the configuration.
func (l *Limiter) SetOrganisations(version int64, list []route.Organisation) {
	limits := make(map[string]Limit, len(list))
	for i := range list {
		limits[list[i].Name] = Limit{Rate: list[i].Rate, Burst: list[i].Burst}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.SetLimits(time.Now(), limits)
	l.buckets.limitsVersion = version
}

// Admit decides whether to admit a request of an organisation.
func (l *Limiter) Admit(org string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.Admit(time.Now(), org)
}

// Refund returns the token of a request that did not run.
func (l *Limiter) Refund(org string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Refund(org)
}

// AdmittedCounts returns the requests that this instance has admitted since its start.
func (l *Limiter) AdmittedCounts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.AdmittedCounts()
}

// AskedCounts returns the requests that this instance was asked for since its start, nil once they
// no longer matter.
func (l *Limiter) AskedCounts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.AskedCounts(time.Now())
}

// ApplyReport processes a report of another instance.
func (l *Limiter) ApplyReport(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.ApplyReport(time.Now(), r)
}

// ConfirmAlive processes liveness reports about instances that reported nothing new.
func (l *Limiter) ConfirmAlive(signs []Liveness) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.ConfirmAlive(time.Now(), signs)
}

// BucketLevels returns the buckets that are not full, nil if the state of the buckets is not
// known.
func (l *Limiter) BucketLevels() BucketLevels {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.BucketLevels(time.Now())
}

// LevelsFrom returns the instance that the levels were adopted from, LevelsUnknown or
// LevelsOfNobody.
func (l *Limiter) LevelsFrom() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.startup.levelsFrom
}

// LevelsStart returns how this instance got the levels after its start.
func (l *Limiter) LevelsStart() LevelsStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.LevelsStart(time.Now())
}

// Tick records that this process runs, and when Tick will be called next.
func (l *Limiter) Tick(period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Tick(time.Now(), period)
}

// AddPeer adds an instance that has not reported yet.
func (l *Limiter) AddPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.AddPeer(time.Now(), name)
}

// SetFleetKnown records that all instances of the fleet have been added.
func (l *Limiter) SetFleetKnown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.SetFleetKnown(time.Now())
}

// WantsLevels reports whether this instance has started so recently that it needs the levels
// that other instances know.
func (l *Limiter) WantsLevels() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.WantsLevels(time.Now())
}

// Doubtful reports whether the levels have begun without knowledge of what was admitted
// before, so recently that it still matters.
func (l *Limiter) Doubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets.Doubtful(time.Now())
}

// MarkDown records that an instance can admit no more requests.
func (l *Limiter) MarkDown(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.MarkDown(name)
}
