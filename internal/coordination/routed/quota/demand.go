package quota

import "time"

// After a start of the whole fleet nobody knows which organisations sent more than their rate
// before. What each instance was asked for since its start shows it, also while it admits nothing
// yet. Without that, callers who were told to come back would arrive at all instances at one
// moment, and each would admit what the whole fleet may, before it hears of the others.
const (
	// hotFactor and hotRequests are how much the fleet has to be asked for more than the rate
	// yields to count an organisation as hot: a multiple of it, and some requests besides.
	hotFactor   = 1.5
	hotRequests = 8
)

// AskedCounts returns the requests that this instance was asked for since its start, admitted or
// not, by organisation. It returns nil once they no longer matter.
func (bs *Buckets) AskedCounts(now time.Time) Counts {
	if bs.levelsKnown() && !bs.Doubtful(now) {
		return nil
	}
	counts := Counts{}
	for org, b := range bs.buckets {
		if b.asked > 0 {
			counts[org] = b.asked
		}
	}
	return counts
}

// isHot reports whether an organisation has asked for clearly more than its rate yields since the
// start.
func (bs *Buckets) isHot(now time.Time, org string, limit Limit) bool {
	asked := bs.buckets[org].asked
	for _, p := range bs.peers {
		asked += p.asked[org]
	}
	return float64(asked) > hotFactor*limit.Rate*now.Sub(bs.startedAt).Seconds()+hotRequests
}

// restrainHot charges an organisation that turns out to be hot after a start of the whole fleet
// for what it may have used before, and restrains it to this instance's share.
func (bs *Buckets) restrainHot(now time.Time, org string, b *bucket, limit Limit) {
	b.pacer.restrained = bs.Doubtful(now) && (b.pacer.restrained || bs.isHot(now, org, limit))
	if b.pacer.restrained && b.owesUnknown {
		bs.chargeDebt(b, limit)
		b.pacer.tokens = 0
	}
}
