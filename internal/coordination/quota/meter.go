package quota

import (
	"sync"
	"time"

	"merlintiller/internal/state/route"
)

// Meter is a Ledger that many goroutines use.
type Meter struct {
	mu     sync.Mutex
	ledger *Ledger
}

// NewMeter returns a meter that knows no limit.
func NewMeter(silentAfter time.Duration) *Meter {
	return &Meter{ledger: New(silentAfter)}
}

// SetOrganisations takes over the limits of a configuration.
func (m *Meter) SetOrganisations(list []route.Organisation) {
	limits := make(map[string]Limit, len(list))
	for i := range list {
		limits[list[i].Name] = Limit{Rate: list[i].Rate, Burst: list[i].Burst}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.SetLimits(time.Now(), limits)
}

// Admit lets a request in, or says how long it takes until one more may come.
func (m *Meter) Admit(org string) (ok bool, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Admit(time.Now(), org)
}

// GiveBack returns the token of a request that did not run.
func (m *Meter) GiveBack(org string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.GiveBack(org)
}

// Own gives what this instance let in since its start.
func (m *Meter) Own() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Own()
}

// Heard takes over what another instance let in since its start.
func (m *Meter) Heard(name string, start int64, counts Counts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Heard(time.Now(), name, start, counts)
}

// Expect makes an instance known that was not heard yet.
func (m *Meter) Expect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Expect(name)
}

// Gone forgets an instance that can let nothing in any more.
func (m *Meter) Gone(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Gone(name)
}
