package journal

import (
	"sync"
	"time"
)

// Limits of the pacer, in appends a second. The platform takes several hundred
// from all instances; what is one instance's part is found out by asking.
const (
	pacerStart = 100.0
	pacerLeast = 1.0
	pacerMost  = 400.0
	// pacerStep is the rise a second while nothing is throttled.
	pacerStep = 5.0
	// pacerDeaf is the time after a halving in which further refusals count as
	// part of the same congestion.
	pacerDeaf = 500 * time.Millisecond
)

// pacer spaces the appends of bulk data by additive increase and multiplicative
// decrease.
//
// All instances share the platform's limit on appends. When batch data alone
// reaches it, renewals are refused as often as data; sessions of healthy
// instances lapse, their work starts over elsewhere and adds to the load. One
// would notice sessions expiring under load with no instance dead. So data
// gives way: any refusal, of a renewal too, halves the rate of this instance's
// data appends, and control records aren't paced at all.
//
// It is pure, time comes in as an argument, and safe for concurrent use.
type pacer struct {
	mu     sync.Mutex
	rate   float64
	next   time.Time
	halved time.Time
	grown  time.Time
}

func newPacer() *pacer { return &pacer{rate: pacerStart} }

// reserve takes the next place and returns the time to wait for it.
func (p *pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(time.Second) / p.rate))
	return wait
}

// throttled notes that the platform refused an append.
func (p *pacer) throttled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grown = now
	if now.Sub(p.halved) < pacerDeaf {
		return
	}
	p.halved = now
	p.rate = max(pacerLeast, p.rate/2)
}

// succeeded notes that the platform took a data append.
func (p *pacer) succeeded(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A pause without appends is no evidence that more would pass.
	elapsed := min(now.Sub(p.grown), time.Second)
	p.grown = now
	p.rate = min(pacerMost, p.rate+pacerStep*elapsed.Seconds())
}
