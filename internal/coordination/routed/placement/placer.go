package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// lookEvery is how often a waiting request looks for a slot where no broker
// answers. Other instances tell several times a second which slots they free.
const lookEvery = 20 * time.Millisecond

// Placer is a Core that many goroutines use.
type Placer struct {
	mu   sync.Mutex
	core *Core
}

// NewPlacer returns a placer that knows no target.
func NewPlacer(domain string, connected func(address string) bool, seed uint64) *Placer {
	p := &Placer{core: New(Options{
		Domain: domain, Connected: connected,
		Random: rand.New(rand.NewPCG(seed, seed)),
	})}
	metrics.GetOrCreateGauge(`slots_used{kind="online"}`, func() float64 {
		online, _ := p.used()
		return float64(online)
	})
	metrics.GetOrCreateGauge(`slots_used{kind="batch"}`, func() float64 {
		_, batch := p.used()
		return float64(batch)
	})
	return p
}

// used counts what this instance has at all targets.
func (p *Placer) used() (online, batch int) {
	for _, h := range p.InFlight() {
		online += h.Online
		batch += h.Batch
	}
	return online, batch
}

// SetTargets takes over the targets that may be used.
func (p *Placer) SetTargets(list []roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetTargets(list)
}

// SetPeer takes over what another instance has at the targets.
func (p *Placer) SetPeer(name string, held []InFlight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPeer(name, held)
}

// InFlight gives what this instance has at the targets.
func (p *Placer) InFlight() []InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.InFlight()
}

// WaitLimits says how long a request may wait for a place.
type WaitLimits struct {
	// SendBy is when the request must be sent for its answer to be on time.
	SendBy time.Time
	// Deadline is when waiting has no use any more.
	Deadline time.Time
}

// Place chooses a target for an online request and counts it there until Done.
// While all are full it waits; it fails if none is known, or if the patience or
// ctx ends. It is for the times when no broker answers.
func (p *Placer) Place(ctx context.Context, want Requirements, patience WaitLimits) (Choice, bool) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if choice, ok := p.Pick(want); ok {
			return choice, true
		}
		if !p.Known(want.Service) || !time.Now().Before(patience.Deadline) {
			return Choice{}, false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Choice{}, false
		}
	}
}

// SetDomainSilent notes that all instances of a failure domain are silent, or
// that one is heard again.
func (p *Placer) SetDomainSilent(domain string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetDomainSilent(time.Now(), domain, silent)
}

// Pick chooses a target and counts the request there until Done. It fails if none
// is known or all are full.
func (p *Placer) Pick(want Requirements) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Pick(time.Now(), want)
}

// Done ends the exchange of a choice.
func (p *Placer) Done(choice Choice, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(time.Now(), choice, result)
}

// Told takes in what a target says of its load.
func (p *Placer) Told(id string, load *exchange.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Told(time.Now(), id, *load)
}

// Take counts a request at a target that a broker chose.
func (p *Placer) Take(target roster.Target, batch bool) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok := p.core.Take(time.Now(), target.ID, batch)
	if !ok {
		// It left the list here a moment ago, or is not yet on it.
		return Choice{Target: target, batch: batch}
	}
	return choice
}

// Distrusted gives the targets that a request should not go to, unless there is
// no other: then none are given, and each may be tried.
func (p *Placer) Distrusted(want Requirements) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Distrusted(time.Now(), want)
}

// Known says whether any target of a service may be used.
func (p *Placer) Known(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Known(service)
}

// Waiting notes that an exchange waits longer than it should. The returned
// function takes the note back, once; it is nil if the target is only busy.
func (p *Placer) Waiting(choice Choice) (goesOn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.core.Waiting(time.Now(), choice) {
		return nil
	}
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.core.GoesOn(choice)
	})
}

// Heard notes that something came from a target.
func (p *Placer) Heard(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Heard(time.Now(), id)
}
