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

// Limiter is a Ledger that many goroutines use.
type Limiter struct {
	mu     sync.Mutex
	ledger *Ledger
}

// NewLimiter returns a meter of an instance that starts now.
func NewLimiter() *Limiter {
	m := &Limiter{ledger: New(time.Now())}
	metrics.RegisterMetricsWriter(m.writeLevels)
	return m
}

// mostLevels bounds the buckets that are shown, the emptiest first.
const mostLevels = 100

// writeLevels writes what is left of the rates of organisations whose buckets are
// not full.
func (m *Limiter) writeLevels(w io.Writer) {
	levels := m.BucketLevels()
	names := slices.SortedFunc(maps.Keys(levels), func(a, b string) int {
		return cmp.Or(cmp.Compare(levels[a], levels[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), mostLevels)] {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("rate_left{organisation=%q}", name), levels[name])
	}
}

// SetOrganisations takes over the limits of a configuration.
func (m *Limiter) SetOrganisations(list []route.Organisation) {
	limits := make(map[string]Limit, len(list))
	for i := range list {
		limits[list[i].Name] = Limit{Rate: list[i].Rate, Burst: list[i].Burst}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.SetLimits(time.Now(), limits)
}

// Admit lets a request in, or says how long it takes until one more may come.
func (m *Limiter) Admit(org string) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Admit(time.Now(), org)
}

// Refund returns the token of a request that did not run.
func (m *Limiter) Refund(org string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Refund(org)
}

// AdmittedCounts gives what this instance let in since its start.
func (m *Limiter) AdmittedCounts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.AdmittedCounts()
}

// ApplyReport takes over what another instance tells.
func (m *Limiter) ApplyReport(r Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.ApplyReport(time.Now(), r)
}

// ConfirmAlive takes over signs of instances that told nothing new.
func (m *Limiter) ConfirmAlive(signs []Liveness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.ConfirmAlive(time.Now(), signs)
}

// BucketLevels gives the buckets that are not full, nil if they are not known.
func (m *Limiter) BucketLevels() BucketLevels {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.BucketLevels(time.Now())
}

// AddPeer makes an instance known that was not heard yet.
func (m *Limiter) AddPeer(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.AddPeer(time.Now(), name)
}

// MarkDown notes that an instance can let nothing in any more.
func (m *Limiter) MarkDown(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.MarkDown(name)
}
