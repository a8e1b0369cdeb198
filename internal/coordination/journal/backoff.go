package journal

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff gives growing waits with jitter, so that instances that failed
// together do not come back together. It is not safe for concurrent use.
type backoff struct {
	base, limit time.Duration
	random      *rand.Rand
	attempt     int
}

func newBackoff(base, limit time.Duration, seed, duty uint64) *backoff {
	return &backoff{base: base, limit: limit, random: rand.New(rand.NewPCG(seed, duty))}
}

func (b *backoff) reset() { b.attempt = 0 }

// next returns a wait between half of the step and the whole step.
func (b *backoff) next() time.Duration {
	step := b.limit
	if shifted := b.base << b.attempt; b.attempt < 20 && shifted < b.limit {
		step = shifted
		b.attempt++
	}
	return step/2 + time.Duration(b.random.Int64N(int64(step/2)+1))
}

// pause waits for a duration, until a channel closes or until ctx ends.
func pause(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
