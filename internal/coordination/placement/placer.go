package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"merlintiller/internal/protocol/exchange"
	"merlintiller/internal/state/roster"
)

const (
	// lookEvery is how often waiting requests look for a slot beside the moments
	// at which something is known to have changed. Slots that other instances
	// free are told within 100 ms.
	lookEvery = 20 * time.Millisecond
	// mostWaiting bounds the requests that wait at an instance. At a rate of
	// nine a second each, which is twice the mean of today's instances, more
	// would wait for longer than callers stay.
	mostWaiting = 40
)

// Placer is a Core that many goroutines use, with the online requests that wait
// for a slot.
type Placer struct {
	mu     sync.Mutex
	core   *Core
	lineup lineup
	// looking says that a look is due.
	looking bool
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
	p.serve(time.Now())
}

// SetPeer takes over what another instance has at the targets.
func (p *Placer) SetPeer(name string, held []Held) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPeer(name, held)
	p.serve(time.Now())
}

// Held gives what this instance has at the targets.
func (p *Placer) Held() []Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Held()
}

// Patience says how long a request may wait for a place.
type Patience struct {
	// OnTimeUntil is when the request must be sent for its answer to be on time.
	OnTimeUntil time.Time
	// Until is when waiting has no use any more.
	Until time.Time
}

// Place chooses a target for an online request and counts it there until Done.
// While all are full it waits; it fails if none is known, if too many wait, or
// if the patience or ctx ends.
func (p *Placer) Place(ctx context.Context, want Want, patience Patience) (Choice, bool) {
	now := time.Now()
	p.mu.Lock()
	if p.lineup.len() == 0 {
		if choice, ok := p.core.Pick(now, want); ok {
			p.mu.Unlock()
			return choice, true
		}
	}
	if !p.core.Known(want.Service) || p.lineup.len() >= mostWaiting || !now.Before(patience.Until) {
		p.mu.Unlock()
		return Choice{}, false
	}
	e := &entry{want: want, onTimeUntil: patience.OnTimeUntil, arrived: now, placed: make(chan Choice, 1)}
	p.lineup.add(e)
	p.serve(now)
	p.look()
	p.mu.Unlock()
	return p.await(ctx, e, patience.Until.Sub(now))
}

func (p *Placer) await(ctx context.Context, e *entry, patience time.Duration) (Choice, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case choice := <-e.placed:
		return choice, true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lineup.remove(e)
	select {
	case choice := <-e.placed:
		// The place came at the same moment.
		p.core.Done(time.Now(), choice, Left)
		p.serve(time.Now())
	default:
	}
	return Choice{}, false
}

// serve gives places to those who wait. It needs the lock.
func (p *Placer) serve(now time.Time) {
	if p.lineup.len() > 0 {
		p.lineup.place(now, func(want Want) (Choice, bool) { return p.core.Pick(now, want) })
	}
}

// look serves again after a while, as long as anybody waits. It needs the lock.
func (p *Placer) look() {
	if p.looking || p.lineup.len() == 0 {
		return
	}
	p.looking = true
	time.AfterFunc(lookEvery, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.looking = false
		p.serve(time.Now())
		p.look()
	})
}

// SetDomainSilent notes that all instances of a failure domain are silent, or
// that one is heard again.
func (p *Placer) SetDomainSilent(domain string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetDomainSilent(time.Now(), domain, silent)
}

// Pick chooses a target for a batch item and counts it there until Done. Items
// take no place that an online request waits for.
func (p *Placer) Pick(want Want) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lineup.len() > 0 {
		return Choice{}, false
	}
	return p.core.Pick(time.Now(), want)
}

// Done ends the exchange of a choice.
func (p *Placer) Done(choice Choice, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(time.Now(), choice, result)
	p.serve(time.Now())
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
