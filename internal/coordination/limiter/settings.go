package limiter

import "time"

// SlotsPerDomain is the number of slots in each failure domain. It is not a
// setting, because instances with different values would grant the same tokens
// twice. With 85 instances in a domain, each organisation's slots are on at
// most MaxSlots instances, so the loss of one instance costs about a third of
// the organisation's quota in that domain.
const SlotsPerDomain = 32

// MaxSlots is the largest number of slots that one organisation uses in a
// failure domain. Like SlotsPerDomain, it must be equal on all instances.
const MaxSlots = 3

// MinSlotBurst is the smallest burst of a slot when a domain's burst is divided
// among several slots. Grants are whole tokens, so with smaller slots most of
// the burst would remain unused as fractions. It must be equal on all
// instances.
const MinSlotBurst = 4

// Settings holds the policy constants of the limiter.
type Settings struct {
	// GrantLifetime is how long an instance may use prefetched tokens. A longer
	// lifetime needs fewer calls but leaves more tokens at instances that do
	// not use them.
	GrantLifetime time.Duration `yaml:"grant_life"`
	// ExchangeTimeout limits the total time of the calls for one decision, and
	// the lifetime of tokens taken for it. It should cover a few round trips
	// inside a region.
	ExchangeTimeout time.Duration `yaml:"exchange_timeout"`
	// CallTimeout limits one call, so that a holder that hangs leaves time to
	// ask another one.
	CallTimeout time.Duration `yaml:"ask_timeout"`
	// PrefetchWindow is the period of forecast use for which an instance
	// prefetches tokens.
	PrefetchWindow time.Duration `yaml:"ahead"`
	// MaxCalls limits the number of calls for one decision. It must be enough
	// to ask the slots of the local domain and of two others, and to collect
	// one token from fractions.
	MaxCalls int `yaml:"asks"`
	// LocalBonus is how much fuller, as a fraction of its burst, a slot in
	// another failure domain must be than a local slot to be asked first. A
	// call to another domain only pays off if it saves a slot from losing
	// refill.
	LocalBonus float64 `yaml:"own_bonus"`
	// NearlyFull is the level, as a fraction of its burst, from which a slot is
	// asked although local tokens are available, because its refill is about to
	// be lost.
	NearlyFull float64 `yaml:"nearly_full"`
	// PeerBackoff is how long a holder that did not answer is not asked again,
	// so that an unreachable domain costs one timeout per second and not one
	// per request.
	PeerBackoff time.Duration `yaml:"peer_backoff"`
	// PromiseDuration is how long a peer's promise not to claim slots is valid.
	// Promises cover the replacement of a peer during an outage of the log.
	// They delay a takeover only if the holder lost the log before it
	// terminated.
	PromiseDuration time.Duration `yaml:"promise"`
	// MaxRenewalAge is the age of this instance's latest session renewal from
	// which it requests promises. It must leave enough time to request them
	// before the session's hold ends.
	MaxRenewalAge time.Duration `yaml:"renewal_late"`
	// GracePeriod is how long a holder may continue on promises after its
	// session was last valid, and how long an instance that is unknown to the
	// holder waits before it claims a slot. It must be longer than any outage
	// of the platform. The wait occurs only if all instances of a domain are
	// lost permanently at once.
	GracePeriod time.Duration `yaml:"grace"`
	// ClockDrift is the largest relative error of a monotonic clock.
	ClockDrift float64 `yaml:"clock_drift"`
	// IdleTimeout is how long an unused organisation is kept in memory. Its
	// tokens are discarded with it, so the timeout must exceed the usual pauses
	// of a caller.
	IdleTimeout time.Duration `yaml:"idle"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		GrantLifetime:   250 * time.Millisecond,
		ExchangeTimeout: 50 * time.Millisecond,
		CallTimeout:     20 * time.Millisecond,
		PrefetchWindow:  100 * time.Millisecond,
		MaxCalls:        12,
		LocalBonus:      0.1,
		NearlyFull:      0.75,
		PeerBackoff:     time.Second,
		PromiseDuration: 30 * time.Second,
		MaxRenewalAge:   3 * time.Second,
		GracePeriod:     4 * time.Hour,
		ClockDrift:      0.0005,
		IdleTimeout:     10 * time.Minute,
	}
}

// padForDrift lengthens a duration so that, once it has elapsed here, the
// original duration has elapsed on every instance's clock.
func (s Settings) padForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.ClockDrift))
}

// trimForDrift shortens a duration so that, when it has elapsed here, the
// original duration has not yet elapsed on any instance's clock.
func (s Settings) trimForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + s.ClockDrift))
}

// rateForDrift lowers a rate so that it does not exceed the given one on any
// instance's clock.
func (s Settings) rateForDrift(rate float64) float64 {
	return rate / (1 + s.ClockDrift)
}
