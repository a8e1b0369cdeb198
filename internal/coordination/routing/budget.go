package routing

import "time"

// RetryBudget bounds retries to a part of the calls, so that a fleet in trouble is
// not sent a multiple of its load. It is not safe for concurrent use.
type RetryBudget struct {
	// ratio is what each call adds, perSecond what time adds.
	ratio, perSecond float64
	most             float64
	tokens           float64
	at               time.Time
}

// rounding is what sums of fractions may fall short by.
const rounding = 1e-9

// NewRetryBudget returns a budget that allows ratio retries a call and perSecond
// retries a second beside, of which most can be saved up.
func NewRetryBudget(ratio, perSecond, most float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, perSecond: perSecond, most: most, tokens: most}
}

// RecordCall notes a first attempt.
func (b *RetryBudget) RecordCall() {
	b.tokens = min(b.most, b.tokens+b.ratio)
}

// TakeRetry takes one retry if there is one left.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	if !b.at.IsZero() {
		b.tokens = min(b.most, b.tokens+b.perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}
