package member

import (
	"fmt"
	"time"
)

// Timings configure sessions. The defaults are for 9 to 12 instances. At 340
// instances, Renew has to be raised to 10 s so that all renewals together stay at
// 34 appends a second.
type Timings struct {
	// Renew is the time between two renewals of the instance's own session.
	Renew time.Duration
	// Hold is how long exclusive work may continue after a confirmed renewal was
	// sent. The default spans three renewals, so that two may be lost.
	Hold time.Duration
	// Expire is how long a session must be without renewals before an observer may
	// propose its expiry. It must exceed Hold by more than the clocks may drift
	// apart.
	Expire time.Duration
	// Stagger is the additional delay per rank before an observer proposes an
	// expiry, so that one observer proposes instead of all at once. It must cover
	// a poll of the log and a tick of the observer. Otherwise the second observer
	// proposes before it can have read the record of the first.
	Stagger time.Duration
	// Drift is the largest clock rate error, fast or slow, as a ratio.
	Drift float64
}

// DefaultTimings returns the defaults.
func DefaultTimings() Timings {
	return Timings{
		Renew:   2 * time.Second,
		Hold:    6 * time.Second,
		Expire:  8 * time.Second,
		Stagger: 2 * time.Second,
		Drift:   0.01,
	}
}

// Check returns an error for the first setting that could let two instances hold
// the same resource or make a healthy instance lose its session.
func (t Timings) Check() error {
	least := time.Duration(float64(t.Hold) * (1 + t.Drift) / (1 - t.Drift))
	switch {
	case t.Renew <= 0:
		return fmt.Errorf("session.renew: %v is not positive", t.Renew)
	case t.Hold < 2*t.Renew:
		return fmt.Errorf("session.hold: %v is less than two renewals of %v", t.Hold, t.Renew)
	case t.Drift < 0 || t.Drift >= 0.5:
		return fmt.Errorf("session.drift: %v is not in 0 to 0.5", t.Drift)
	case t.Expire <= least:
		return fmt.Errorf("session.expire: %v must exceed %v, the hold time on the slowest clock", t.Expire, least)
	case t.Stagger < 0:
		return fmt.Errorf("session.stagger: %v is negative", t.Stagger)
	}
	return nil
}
