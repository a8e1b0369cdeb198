package journal

import (
	"sync"
	"time"
)

// PacerSettings holds the rates of the appends of bulk data, in appends a
// second. The platform accepts several hundred appends a second from all
// instances together. Each instance finds its share by raising its rate until
// the platform rejects an append.
type PacerSettings struct {
	// InitialRate is the rate at the start. At 100, an upload of 25,000 items
	// takes one second if the log has no other load.
	InitialRate float64
	// Burst is the number of appends that may be sent at once after an idle
	// time, so that the few appends of a small request don't wait for each
	// other.
	Burst float64
	// MinRate and MaxRate limit the rate.
	MinRate, MaxRate float64
	// IncreasePerSecond is added to the rate for each second without a
	// rejection. Trials with 3, 5 and 10 gave similar results.
	IncreasePerSecond float64
	// Cooldown is the time after a decrease during which further rejections
	// count as part of the same congestion.
	Cooldown time.Duration
}

// DefaultPacerSettings returns the defaults.
func DefaultPacerSettings() PacerSettings {
	return PacerSettings{InitialRate: 100, Burst: 16, MinRate: 1, MaxRate: 400, IncreasePerSecond: 5, Cooldown: 500 * time.Millisecond}
}

// pacer limits the rate of bulk data appends by additive increase and
// multiplicative decrease.
//
// All instances share the platform's limit on appends. If batch data alone
// reaches the limit, the platform rejects renewals as often as data. Sessions
// of healthy instances then expire, and their work starts again on other
// instances and adds to the load. The symptom is sessions that expire under
// load although no instance is dead. Each rejection, also of a renewal,
// therefore halves the rate of this instance's data appends. Control records
// are not paced.
//
// It reads no clock: callers pass the time. Waiting callers reserve no tokens
// in advance. When they did, a lower rate took effect only after the last
// reserved token was used, and the rate oscillated between almost zero and
// several times the limit.
type pacer struct {
	settings PacerSettings

	mu            sync.Mutex
	rate          float64
	tokens        float64
	refilledAt    time.Time
	halvedAt      time.Time
	lastOutcomeAt time.Time
}

func newPacer(settings PacerSettings) *pacer {
	return &pacer{settings: settings, rate: settings.InitialRate, tokens: settings.Burst}
}

// take uses a token if one is available. Otherwise it returns how long to wait
// before the next attempt.
func (p *pacer) take(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refilledAt.IsZero() {
		p.tokens += p.rate * now.Sub(p.refilledAt).Seconds()
		p.tokens = min(p.tokens, p.settings.Burst)
	}
	p.refilledAt = now
	if p.tokens < 1 {
		missing := (1 - p.tokens) / p.rate
		return time.Duration(missing*float64(time.Second)) + time.Microsecond
	}
	p.tokens--
	return 0
}

// onThrottled records that the platform rejected an append because of its rate
// limit.
func (p *pacer) onThrottled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOutcomeAt = now
	if now.Sub(p.halvedAt) < p.settings.Cooldown {
		return
	}
	p.halvedAt = now
	p.tokens = 0
	p.rate = max(p.settings.MinRate, p.rate/2)
}

// onSuccess records that the platform accepted a data append.
func (p *pacer) onSuccess(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Time without appends does not show that a higher rate would be accepted.
	elapsed := min(now.Sub(p.lastOutcomeAt), time.Second)
	p.lastOutcomeAt = now
	p.rate = min(p.settings.MaxRate, p.rate+p.settings.IncreasePerSecond*elapsed.Seconds())
}
