package harness

import (
	"context"
	"fmt"
	"time"
)

// Poll looks again and again until look says that it is done or ctx ends. An
// error of look is a reason to look again, since processes come and go; the
// last one is named when ctx ends.
func Poll(ctx context.Context, look func(context.Context) (done bool, err error)) error {
	for {
		done, err := look(ctx)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last look: %v", ctx.Err(), err)
		case <-time.After(pollPeriod):
		}
	}
}

// Let lets the processes run for a while.
func Let(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
