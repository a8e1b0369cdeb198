package harness

import (
	"context"
	"fmt"
	"time"
)

// Poll calls check every pollPeriod until check returns done or ctx ends. Poll
// continues after an error of check, because processes may be stopped or starting.
// When ctx ends, the returned error includes the last error of check.
func Poll(ctx context.Context, check func(context.Context) (done bool, err error)) error {
	for {
		done, err := check(ctx)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last check: %v", ctx.Err(), err)
		case <-time.After(pollPeriod):
		}
	}
}

// Sleep waits for d or until ctx ends, while the processes run.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
