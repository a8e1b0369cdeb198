// Package wait has the waits of duties, which all end with their context.
package wait

import (
	"context"
	"time"
)

// For waits. It is false if the context ended first.
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

// Every calls do after each period until the context ends, and gives its error. A
// period that passes during a call is left out.
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

// AtOnceAndEvery is Every with a first call at once.
func AtOnceAndEvery(ctx context.Context, period time.Duration, do func()) error {
	do()
	return Every(ctx, period, do)
}
