package limiter

import (
	"math"
	"slices"
	"time"
)

// lent is an amount of tokens that left the bucket and may still be used
// somewhere until a time.
type lent struct {
	until  time.Time
	amount float64
	// id names a fraction that may be given back, 0 for whole tokens. part is
	// the index of the slot it came from, at the asker.
	id   uint64
	part int
}

// bucket is a slot's token bucket of one organisation.
//
// Tokens that were given to another instance still count against the burst
// until they can no longer be used. Without that a bucket would fill up again
// while its tokens wait elsewhere, and the sum of both would let through more
// than the burst.
type bucket struct {
	rate, burst float64
	tokens      float64
	at          time.Time
	out         []lent
	outSum      float64
}

// newBucket returns an empty bucket that begins to fill at a time.
func newBucket(rate, burst float64, from time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, at: from}
}

// advance adds the refill up to now.
func (b *bucket) advance(now time.Time) {
	for len(b.out) > 0 && !b.out[0].until.After(now) {
		b.fill(b.out[0].until)
		b.outSum -= b.out[0].amount
		b.out = b.out[1:]
	}
	if len(b.out) == 0 {
		b.outSum, b.out = 0, nil
	}
	b.fill(now)
}

func (b *bucket) fill(to time.Time) {
	if !to.After(b.at) {
		return
	}
	room := b.burst - b.tokens - b.outSum
	refill := b.rate * to.Sub(b.at).Seconds()
	b.tokens += max(0, min(refill, room))
	b.at = to
}

// lend removes up to want tokens that may be used elsewhere until a time: whole
// ones, unless a fraction helps.
// id is not 0 for a fraction that may be given back.
func (b *bucket) lend(now time.Time, want float64, id uint64, until time.Time) float64 {
	b.advance(now)
	amount := min(want, b.tokens)
	if id == 0 {
		amount = math.Floor(amount)
	}
	if amount <= 0 {
		return 0
	}
	b.tokens -= amount
	b.outSum += amount
	b.remember(lent{until: until, amount: amount, id: id})
	return amount
}

// lendSlack is the time within which lent amounts share one entry, which
// bounds the entries of a bucket.
const lendSlack = 10 * time.Millisecond

// remember keeps the entries ordered by their end. An entry joins the last one
// if their ends are close, at the later end: tokens are then counted as out for
// a little too long, never too short.
func (b *bucket) remember(entry lent) {
	last := len(b.out) - 1
	if last >= 0 && entry.id == 0 && b.out[last].id == 0 && entry.until.Sub(b.out[last].until) < lendSlack {
		b.out[last].amount += entry.amount
		if entry.until.After(b.out[last].until) {
			b.out[last].until = entry.until
		}
		return
	}
	i := len(b.out)
	for i > 0 && b.out[i-1].until.After(entry.until) {
		i--
	}
	b.out = slices.Insert(b.out, i, entry)
}

// giveBack takes back what is left of a lent fraction. A second copy, or one
// that comes when the fraction's life is over, finds no entry and does nothing.
func (b *bucket) giveBack(now time.Time, id uint64, amount float64) {
	b.advance(now)
	i := slices.IndexFunc(b.out, func(l lent) bool { return l.id == id })
	if id == 0 || i < 0 {
		return
	}
	b.outSum -= b.out[i].amount
	b.tokens += max(0, min(amount, b.out[i].amount, b.burst-b.tokens-b.outSum))
	b.out = slices.Delete(b.out, i, i+1)
}

// resize follows a change of the slot's part. Tokens above the new burst go.
func (b *bucket) resize(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.tokens = max(0, min(b.tokens, burst-b.outSum))
}

// wait is the time until amount tokens are there if nobody else takes any.
func (b *bucket) wait(amount float64) time.Duration {
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration(max(0, amount-b.tokens) / b.rate * float64(time.Second))
}
