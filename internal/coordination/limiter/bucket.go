package limiter

import (
	"math"
	"slices"
	"time"
)

// grant is an amount of tokens that left a bucket and may be used by another
// instance until it expires.
type grant struct {
	expiresAt time.Time
	amount    float64
	// id identifies a fraction, which may be returned; it is 0 for whole
	// tokens. slotIndex is the index of the slot that the grant came from, in
	// the receiver's account.
	id        uint64
	slotIndex int
}

// bucket is the token bucket of an organisation in one slot.
//
// Tokens granted to another instance count against the burst until they have
// expired. Otherwise the bucket would refill while its granted tokens are still
// unspent, and together they would admit more than the burst.
type bucket struct {
	rate, burst    float64
	tokens         float64
	updatedAt      time.Time
	outstanding    []grant
	outstandingSum float64
}

// newBucket returns an empty bucket that fills from the given time.
func newBucket(rate, burst float64, from time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, updatedAt: from}
}

// advance adds the refill up to now and drops expired grants.
func (b *bucket) advance(now time.Time) {
	for len(b.outstanding) > 0 && !b.outstanding[0].expiresAt.After(now) {
		b.fill(b.outstanding[0].expiresAt)
		b.outstandingSum -= b.outstanding[0].amount
		b.outstanding = b.outstanding[1:]
	}
	if len(b.outstanding) == 0 {
		b.outstandingSum, b.outstanding = 0, nil
	}
	b.fill(now)
}

func (b *bucket) fill(to time.Time) {
	if !to.After(b.updatedAt) {
		return
	}
	room := b.burst - b.tokens - b.outstandingSum
	refill := b.rate * to.Sub(b.updatedAt).Seconds()
	b.tokens += max(0, min(refill, room))
	b.updatedAt = to
}

// issue removes up to want tokens, which another instance may use until the
// given time. If id is 0, it issues whole tokens only. Otherwise it may issue a
// fraction, which can be returned under this id.
func (b *bucket) issue(now time.Time, want float64, id uint64, until time.Time) float64 {
	b.advance(now)
	amount := min(want, b.tokens)
	if id == 0 {
		amount = math.Floor(amount)
	}
	if amount <= 0 {
		return 0
	}
	b.tokens -= amount
	b.outstandingSum += amount
	b.addOutstanding(grant{expiresAt: until, amount: amount, id: id})
	return amount
}

// grantMergeWindow is the largest difference between the expiries of grants
// that are merged into one entry. Merging limits the number of entries of a
// bucket.
const grantMergeWindow = 10 * time.Millisecond

// addOutstanding inserts an entry, ordered by expiry. If its expiry is within
// grantMergeWindow of that of the last entry, both are merged and get the later
// expiry. Tokens may then count as outstanding for slightly too long, but never
// for too short a time.
func (b *bucket) addOutstanding(entry grant) {
	last := len(b.outstanding) - 1
	if last >= 0 && entry.id == 0 && b.outstanding[last].id == 0 && entry.expiresAt.Sub(b.outstanding[last].expiresAt) < grantMergeWindow {
		b.outstanding[last].amount += entry.amount
		if entry.expiresAt.After(b.outstanding[last].expiresAt) {
			b.outstanding[last].expiresAt = entry.expiresAt
		}
		return
	}
	i := len(b.outstanding)
	for i > 0 && b.outstanding[i-1].expiresAt.After(entry.expiresAt) {
		i--
	}
	b.outstanding = slices.Insert(b.outstanding, i, entry)
}

// refund takes back the unspent part of a fraction. It has no effect for a
// duplicate or after the fraction has expired, because there is no entry.
func (b *bucket) refund(now time.Time, id uint64, amount float64) {
	b.advance(now)
	i := slices.IndexFunc(b.outstanding, func(g grant) bool { return g.id == id })
	if id == 0 || i < 0 {
		return
	}
	b.outstandingSum -= b.outstanding[i].amount
	b.tokens += max(0, min(amount, b.outstanding[i].amount, b.burst-b.tokens-b.outstandingSum))
	b.outstanding = slices.Delete(b.outstanding, i, i+1)
}

// resize applies a changed quota. Tokens above the new burst are discarded.
func (b *bucket) resize(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.tokens = max(0, min(b.tokens, burst-b.outstandingSum))
}

// timeUntil returns the time until the bucket has the given amount if no tokens
// are taken meanwhile.
func (b *bucket) timeUntil(amount float64) time.Duration {
	if b.rate <= 0 {
		return time.Hour
	}
	return time.Duration(max(0, amount-b.tokens) / b.rate * float64(time.Second))
}
