package journal

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff returns exponentially growing waits with jitter. The jitter keeps
// instances that failed together from retrying together. It is not safe for
// concurrent use.
type backoff struct {
	base, limit time.Duration
	random      *rand.Rand
	attempt     int
}

func newBackoff(base, limit time.Duration, seed, stream uint64) *backoff {
	return &backoff{base: base, limit: limit, random: rand.New(rand.NewPCG(seed, stream))}
}

func (b *backoff) reset() { b.attempt = 0 }

// next returns a wait between half of the current step and the whole step.
func (b *backoff) next() time.Duration {
	step := b.limit
	if shifted := b.base << b.attempt; b.attempt < 20 && shifted < b.limit {
		step = shifted
		b.attempt++
	}
	return step/2 + time.Duration(b.random.Int64N(int64(step/2)+1))
}

// pause waits until the duration has passed, wake is closed or receives a
// value, or ctx ends.
func pause(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
