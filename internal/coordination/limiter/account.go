package limiter

import (
	"time"

	"merlintiller/internal/protocol"
)

// source is what the instance knows of one slot of an organisation.
type source struct {
	part Part
	// bucket is set while this instance holds the slot and has used it.
	bucket *bucket
	// level and levelAt are the holder's last answer.
	level   float64
	levelAt time.Time
	// quietUntil is the time before which asking for a whole token is useless:
	// the slot has none or its holder did not answer. failedUntil is the time
	// before which its holder is left alone for not answering.
	quietUntil, failedUntil time.Time
}

// account is what the instance knows of one organisation.
type account struct {
	id      protocol.OrganisationID
	version protocol.Offset
	settled int
	rate    float64
	sources []source
	// grants are tokens taken ahead of need, ordered by their end.
	grants []lent
	demand demand
	// fetching says that tokens are being taken ahead of need.
	fetching bool
	used     time.Time
}

// granted is the number of tokens at hand. It drops the ones whose life ended.
func (a *account) granted(now time.Time) float64 {
	kept := a.grants[:0]
	sum := 0.0
	for _, g := range a.grants {
		if g.until.After(now) {
			kept = append(kept, g)
			sum += g.amount
		}
	}
	a.grants = kept
	return sum
}

// spendGrants uses tokens, those that end first first. The caller has checked
// that there are enough, or wants as many as there are.
func (a *account) spendGrants(amount float64) float64 {
	left := amount
	for i := range a.grants {
		used := min(left, a.grants[i].amount)
		a.grants[i].amount -= used
		left -= used
	}
	return amount - left
}

// add keeps granted tokens ordered by their end.
func (a *account) add(g lent) {
	if g.amount <= 0 {
		return
	}
	i := len(a.grants)
	for i > 0 && a.grants[i-1].until.After(g.until) {
		i--
	}
	a.grants = append(a.grants, lent{})
	copy(a.grants[i+1:], a.grants[i:])
	a.grants[i] = g
}

// forecastMemory is the time over which past use counts for the forecast.
const forecastMemory = 500 * time.Millisecond

// demand forecasts the organisation's use at this instance from its own recent
// use: an exponentially decaying count of tokens.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	// A rational decay is close enough to the exponential, and cheaper.
	d.count /= 1 + elapsed.Seconds()/forecastMemory.Seconds()
	d.at = now
}

func (d *demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.count += tokens
}

// over is the use expected in the time to come.
func (d *demand) over(ahead time.Duration) float64 {
	return d.count * ahead.Seconds() / forecastMemory.Seconds()
}
