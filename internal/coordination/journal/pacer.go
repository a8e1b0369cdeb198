package journal

import (
	"sync"
	"time"
)

// Pace are the rates of the appends of bulk data, in appends a second. The
// platform takes several hundred from all instances; what one instance's part
// is it finds out by asking.
type Pace struct {
	// Start is the first rate. 100 lets an upload of 25,000 items through in a
	// second where nothing else is going on.
	Start float64
	// Least and Most bound the rate.
	Least, Most float64
	// Step is the rise a second while nothing is refused. Trials with 10 let
	// renewals lapse under a flood of data, with 5 none did.
	Step float64
	// Deaf is the time after a halving in which further refusals count as part
	// of the same congestion.
	Deaf time.Duration
}

// DefaultPace returns the defaults.
func DefaultPace() Pace {
	return Pace{Start: 100, Least: 1, Most: 400, Step: 5, Deaf: 500 * time.Millisecond}
}

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
	pace Pace

	mu     sync.Mutex
	rate   float64
	next   time.Time
	halved time.Time
	grown  time.Time
}

func newPacer(pace Pace) *pacer { return &pacer{pace: pace, rate: pace.Start} }

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
	if now.Sub(p.halved) < p.pace.Deaf {
		return
	}
	p.halved = now
	p.rate = max(p.pace.Least, p.rate/2)
}

// succeeded notes that the platform took a data append.
func (p *pacer) succeeded(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A pause without appends is no evidence that more would pass.
	elapsed := min(now.Sub(p.grown), time.Second)
	p.grown = now
	p.rate = min(p.pace.Most, p.rate+p.pace.Step*elapsed.Seconds())
}
