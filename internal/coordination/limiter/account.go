package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// slotState is what this instance knows of one slot of an organisation.
type slotState struct {
	quota Quota
	// bucket is set while this instance holds the slot and has used it.
	bucket *bucket
	// level is the number of tokens that the holder reported last, and levelAt
	// the time of that reply.
	level   float64
	levelAt time.Time
	// skipUntil is the time until which the slot is not asked for a whole
	// token, because it has none or its holder did not answer. unreachableUntil
	// is the time until which the slot is not asked at all, because its holder
	// did not answer.
	skipUntil, unreachableUntil time.Time
}

// account is what this instance knows of one organisation.
type account struct {
	id                protocol.OrganisationID
	version           protocol.Offset
	completedRollouts int
	rate              float64
	slots             []slotState
	// grants are tokens received from other holders, ordered by expiry.
	grants []grant
	demand demand
	// prefetching is true while a prefetch is in flight.
	prefetching bool
	lastUsed    time.Time
}

// availableGrants returns the number of unspent granted tokens, and drops
// expired grants.
func (a *account) availableGrants(now time.Time) float64 {
	kept := a.grants[:0]
	sum := 0.0
	for _, g := range a.grants {
		if g.expiresAt.After(now) {
			kept = append(kept, g)
			sum += g.amount
		}
	}
	a.grants = kept
	return sum
}

// spendGrants spends up to the given amount, beginning with the grants that
// expire first, and returns how much it spent.
func (a *account) spendGrants(amount float64) float64 {
	remaining := amount
	for i := range a.grants {
		used := min(remaining, a.grants[i].amount)
		a.grants[i].amount -= used
		remaining -= used
	}
	return amount - remaining
}

// addGrant inserts a grant, ordered by expiry.
func (a *account) addGrant(g grant) {
	if g.amount <= 0 {
		return
	}
	i := len(a.grants)
	for i > 0 && a.grants[i-1].expiresAt.After(g.expiresAt) {
		i--
	}
	a.grants = append(a.grants, grant{})
	copy(a.grants[i+1:], a.grants[i:])
	a.grants[i] = g
}

// forecastTimeConstant is the time constant with which past use loses weight in
// the forecast.
const forecastTimeConstant = 500 * time.Millisecond

// demand forecasts an organisation's token use at this instance from a decaying
// count of the tokens used here.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	// This rational decay is close enough to an exponential one, and cheaper.
	d.count /= 1 + elapsed.Seconds()/forecastTimeConstant.Seconds()
	d.at = now
}

func (d *demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.count += tokens
}

// forecast returns the expected use, in tokens, within the given time.
func (d *demand) forecast(ahead time.Duration) float64 {
	return d.count * ahead.Seconds() / forecastTimeConstant.Seconds()
}
