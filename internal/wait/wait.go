// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitterShare is the largest part of a delay by which Jitter changes it.
const jitterShare = 0.25

// Jitter returns a random delay around d, so that processes which began a wait at the same
// time do not end it at the same time. The mean is d, the largest delay five quarters of it.
func Jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*random.Float64()-1)))
}

// For waits for d. It returns false if ctx is done first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do after each period until ctx is done, and returns the error of ctx.
// Ticks that are missed while do is running are dropped as by time.Ticker.
func Every(ctx context.Context, period time.Duration, do func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AtOnceAndEvery calls do immediately and then like Every.
func AtOnceAndEvery(ctx context.Context, period time.Duration, do func()) error {
	do()
	return Every(ctx, period, do)
}
