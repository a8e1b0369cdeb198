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
	// Burst is how many appends may go at once after a rest, so that the few
	// appends of a small request don't wait for each other.
	Burst float64
	// Least and Most bound the rate.
	Least, Most float64
	// Step is the rise a second while nothing is refused. In trials 3, 5 and 10
	// came out alike.
	Step float64
	// Deaf is the time after a halving in which further refusals count as part
	// of the same congestion.
	Deaf time.Duration
}

// DefaultPace returns the defaults.
func DefaultPace() Pace {
	return Pace{Start: 100, Burst: 16, Least: 1, Most: 400, Step: 5, Deaf: 500 * time.Millisecond}
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
// It is pure: time comes in as an argument. Those who wait for a place hold
// none in advance. With places given out ahead, a fall of the rate came into
// force only when the last of them was used, and the rate swung between a
// trickle and several times the limit.
type pacer struct {
	pace Pace

	mu     sync.Mutex
	rate   float64
	places float64
	filled time.Time
	halved time.Time
	grown  time.Time
}

func newPacer(pace Pace) *pacer {
	return &pacer{pace: pace, rate: pace.Start, places: pace.Burst}
}

// take takes a place if there is one, and else returns how long to wait before
// asking again.
func (p *pacer) take(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.filled.IsZero() {
		p.places += p.rate * now.Sub(p.filled).Seconds()
		p.places = min(p.places, p.pace.Burst)
	}
	p.filled = now
	if p.places < 1 {
		missing := (1 - p.places) / p.rate
		return time.Duration(missing*float64(time.Second)) + time.Microsecond
	}
	p.places--
	return 0
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
	p.places = 0
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
