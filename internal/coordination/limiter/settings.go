package limiter

import "time"

// SlotsPerDomain is the number of slots that a failure domain's part of the
// rates is cut into. It is no setting: instances that counted differently would
// hand out the same tokens twice. At 85 instances a domain each organisation
// sits on at most MaxSlots of them, so a death costs a third of the part.
const SlotsPerDomain = 32

// MaxSlots bounds the slots one organisation uses in one failure domain. Like
// SlotsPerDomain it must be equal everywhere.
const MaxSlots = 3

// MinSlotBurst is the least burst for which a domain's part is cut further.
// Slots grant whole tokens, so a cut below it would strand most of the burst in
// fractions. It must be equal everywhere.
const MinSlotBurst = 4

// Settings are the policy constants of the limiter.
type Settings struct {
	// GrantLife is how long an instance may use tokens it took ahead of need.
	// Longer means fewer exchanges and more tokens lying where nobody asks.
	GrantLife time.Duration `yaml:"grant_life"`
	// ExchangeTimeout bounds the exchanges of one decision, and the life of
	// tokens taken for it. A few round trips inside a region fit well.
	ExchangeTimeout time.Duration `yaml:"exchange_timeout"`
	// CallTimeout bounds one exchange, so that a holder that hangs leaves time
	// to ask another one.
	CallTimeout time.Duration `yaml:"ask_timeout"`
	// Ahead is the time of forecast use that an instance takes ahead of need.
	Ahead time.Duration `yaml:"ahead"`
	// Asks bounds the exchanges of one decision: enough for the slots of the
	// own domain and of two others, and to put a token together.
	Asks int `yaml:"asks"`
	// OwnBonus is how much fuller, as a part of its burst, another failure
	// domain's slot must be than one of the own domain to be asked first: a
	// hop between domains is paid only to keep slots from losing refill.
	OwnBonus float64 `yaml:"own_bonus"`
	// NearlyFull is the part of its burst from which a slot is asked although
	// there are tokens here: what it has is about to be lost.
	NearlyFull float64 `yaml:"nearly_full"`
	// PeerBackoff is how long a holder that did not answer is left alone, so
	// that a cut domain costs one timeout a second and not one a request.
	PeerBackoff time.Duration `yaml:"peer_backoff"`
	// Promise is how long a mate's promise not to claim lasts. It bridges the
	// replacement of a mate during an outage of the log, and it delays a
	// takeover only if the holder had lost the log before it died.
	Promise time.Duration `yaml:"promise"`
	// MaxRenewalAge is the age of the own latest renewal from which promises are
	// asked for. It must leave time to ask before the session's hold ends.
	MaxRenewalAge time.Duration `yaml:"renewal_late"`
	// Grace is how long a holder may go on by promises after it last held its
	// session, and how long an instance that the holder can't know waits
	// before it claims. It must outlast the platform's outages; it is paid
	// only when all instances of a domain are lost for good at once.
	Grace time.Duration `yaml:"grace"`
	// ClockDrift bounds the relative error of a monotonic clock.
	ClockDrift float64 `yaml:"clock_drift"`
	// Idle is how long an unused organisation is kept in memory. Dropping one
	// forgets its tokens, so it must exceed the usual pauses of a caller.
	Idle time.Duration `yaml:"idle"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		GrantLife:       250 * time.Millisecond,
		ExchangeTimeout: 50 * time.Millisecond,
		CallTimeout:      20 * time.Millisecond,
		Ahead:           100 * time.Millisecond,
		Asks:            12,
		OwnBonus:        0.1,
		NearlyFull:      0.75,
		PeerBackoff:     time.Second,
		Promise:         30 * time.Second,
		MaxRenewalAge:     3 * time.Second,
		Grace:           4 * time.Hour,
		ClockDrift:      0.0005,
		Idle:            10 * time.Minute,
	}
}

// longer stretches a duration so that it has passed on every clock.
func (s Settings) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.ClockDrift))
}

// shorter cuts a duration so that it has not passed on any clock.
func (s Settings) shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + s.ClockDrift))
}

// slower is a rate that is not above the given one on any clock.
func (s Settings) slower(rate float64) float64 {
	return rate / (1 + s.ClockDrift)
}
