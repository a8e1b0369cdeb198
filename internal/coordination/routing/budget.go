package routing

import "time"

// RetryBudget limits retries to a share of the calls, so that retries do not
// multiply the load of a fleet that is already failing. It is not safe for
// concurrent use.
type RetryBudget struct {
	// ratio is the number of tokens that each call adds, and perSecond the
	// number that each second adds. A retry takes one token.
	ratio, perSecond float64
	max              float64
	tokens           float64
	refilledAt       time.Time
}

// roundingError is the amount by which a sum of fractions may fall short of a
// whole token.
const roundingError = 1e-9

// NewRetryBudget returns a full budget. It allows ratio retries per call plus
// perSecond retries per second, and stores at most maxRetries unused retries.
func NewRetryBudget(ratio, perSecond, maxRetries float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, perSecond: perSecond, max: maxRetries, tokens: maxRetries}
}

// RecordCall records the first attempt of a call.
func (b *RetryBudget) RecordCall() {
	b.tokens = min(b.max, b.tokens+b.ratio)
}

// TakeRetry takes one retry from the budget and reports whether one was
// available.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.max, b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1-roundingError {
		return false
	}
	b.tokens--
	return true
}
