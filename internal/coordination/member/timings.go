package member

import (
	"fmt"
	"time"
)

// Timings are the durations of sessions. The defaults are for 9 to 12
// instances; at 340, Renew is raised to 10 s so that all renewals together
// stay at 34 appends a second.
type Timings struct {
	// Renew is the time between two renewals of the own session.
	Renew time.Duration
	// Hold is how long after a confirmed renewal was sent exclusive work may
	// go on. It spans three renewals, so that two may be lost.
	Hold time.Duration
	// Expire is how long a session must be silent before its expiry may be
	// proposed. It must exceed Hold by more than the clocks may drift apart.
	Expire time.Duration
	// Stagger is the further wait of each observer that is not the first in
	// line to propose an expiry, so that one proposes and not all at once. It
	// must cover a poll of the log and a tick of the observer, or the second
	// proposes before it can have read the first one's record.
	Stagger time.Duration
	// Drift is by how much a clock may run too fast or too slow, as a ratio.
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

// Check reports the first setting that would make two instances hold the same
// resource, or make a healthy instance lose what it holds.
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
