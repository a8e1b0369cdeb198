package fleetview

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// returnGrace is how long after the end of a store outage targets without an
	// entry are used. Running targets register about once a second and are listed
	// again within two. A target that left at the end of the outage must get no
	// request two seconds after its entry was removed. The remaining half a second
	// covers the retry delay until the end of the outage is noticed and the few
	// milliseconds that a placed request takes to reach its target.
	returnGrace = 1500 * time.Millisecond
	// returnWindow is how long after the end of a store outage missing entries are
	// attributed to the outage.
	returnWindow = time.Second
	// outageThreshold is the time without an answer of the store that counts as an
	// outage: one read with its wait, and one lost read.
	outageThreshold = 2500 * time.Millisecond
)

// StoreAnswered records that the store answered a call.
func (v *View) StoreAnswered() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.lastAnswer.IsZero() && now.Sub(v.lastAnswer) > outageThreshold {
		_ = level.Info(v.logger).Log("event", "store_back", "away_ms", now.Sub(v.lastAnswer).Milliseconds())
	}
	v.lastAnswer = now
	v.markCurrent(now)
}

// ListConfirmed records that another instance has a list with a digest which was known to be current
// an age ago. age is 0 if the instance does not tell.
//
// Without this, an instance that alone is rejected by the store would take a target that has left for
// one whose entry lapsed in an outage, and use it for another returnGrace.
func (v *View) ListConfirmed(digest uint64, age time.Duration) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if age > 0 && v.targetsKnown && digest == v.rosterDigest {
		v.markCurrent(now.Add(-age))
	}
}

// ListConfirmedAge returns the time since the list of targets was last known to be current, 0 if it never was.
func (v *View) ListConfirmedAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.currentAt.IsZero() || !v.targetsKnown {
		return 0
	}
	return max(time.Since(v.currentAt), 1)
}

// markCurrent records that the list of targets was current at a time. The caller must hold v.mu.
func (v *View) markCurrent(at time.Time) {
	if !at.After(v.currentAt) {
		return
	}
	if v.isOutage(at) {
		v.storeReturned = at
	}
	v.currentAt, v.stalledBefore = at, v.clock.StalledUntil(at)
}

// isOutage reports whether the list of targets has been known to be current, and not been so for longer than
// a lost read explains. A pause of this process does not count. The caller must hold v.mu.
func (v *View) isOutage(now time.Time) bool {
	if v.currentAt.IsZero() {
		return false
	}
	stalled := v.clock.StalledUntil(now) - v.stalledBefore
	return now.Sub(v.currentAt)-stalled > outageThreshold
}

// tick records that this process runs.
func (v *View) tick() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clock.Tick(now, tickInterval)
}

// ResumedAt returns when this process last went on after it had not run for a time, zero if it always ran.
func (v *View) ResumedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.ResumedAt(time.Now())
}

// graceUntil returns until when targets are used whose entries disappear now, zero if
// they are not used any more.
//
// After a network partition an instance may receive the list from another instance
// before the store answers it. The entries that the list lacks expired during the
// partition. If their targets were not used, the instances of a failure domain that was
// isolated would stop using their own targets until these register again, a second
// later, and would send all requests to the other domains.
func (v *View) graceUntil(now time.Time) time.Time {
	switch {
	case v.isOutage(now):
		return now.Add(returnGrace)
	case !v.storeReturned.IsZero() && now.Sub(v.storeReturned) < returnWindow:
		return v.storeReturned.Add(returnGrace)
	default:
		return time.Time{}
	}
}
