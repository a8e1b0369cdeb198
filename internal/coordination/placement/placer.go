package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

// Placer is a Core that many goroutines use.
type Placer struct {
	mu   sync.Mutex
	core *Core
}

// NewPlacer returns a placer that knows no target.
func NewPlacer(domain string, connected func(address string) bool, seed uint64) *Placer {
	return &Placer{core: New(Options{
		Domain: domain, Connected: connected,
		Random: rand.New(rand.NewPCG(seed, seed)),
	})}
}

// SetTargets takes over the targets that may be used.
func (p *Placer) SetTargets(list []roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetTargets(list)
}

// SetPeer takes over what another instance has at the targets.
func (p *Placer) SetPeer(name string, held []Held) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPeer(name, held)
}

// Held gives what this instance has at the targets.
func (p *Placer) Held() []Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Held()
}

// Pick chooses a target and counts the request there until Done.
func (p *Placer) Pick(want Want) (Choice, bool) {
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

// Known says whether any target of a service may be used.
func (p *Placer) Known(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Known(service)
}

// Waiting notes that an exchange waits longer than it should. The returned
// function takes the note back, once.
func (p *Placer) Waiting(choice Choice) (goesOn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Waiting(choice)
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.core.GoesOn(choice)
	})
}
