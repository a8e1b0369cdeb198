package broker

import "time"

const (
	// rateBucket is the resolution of an eventRate, and rateBuckets the number of buckets that
	// it keeps.
	rateBucket  = 50 * time.Millisecond
	rateBuckets = 20
	// shortRateWindow is the window of a rate if it contains at least minShortEvents events.
	// Otherwise the window is longRateWindow, with at least minLongEvents. The slots of a
	// small failure domain become free about 30 times a second.
	shortRateWindow = 300 * time.Millisecond
	longRateWindow  = rateBucket * rateBuckets
	minShortEvents  = 20
	minLongEvents   = 8
	// minRateAge is the time that events are counted before their rate is used. A broker that
	// has just started does not see the slots that its predecessor granted until full
	// reports arrive.
	minRateAge = reportInterval
)

// eventRate counts events of the last second. It is pure and not safe for concurrent use.
type eventRate struct {
	// first is when counting began.
	first time.Time
	// counts are the events by bucket; last is the number of the newest bucket.
	counts [rateBuckets]int
	last   int64
}

// add counts n events.
func (r *eventRate) add(now time.Time, n int) {
	if r.first.IsZero() {
		r.first = now
	}
	r.advance(now)
	r.counts[r.last%rateBuckets] += n
}

// advance clears the buckets between the last one and that of a time.
func (r *eventRate) advance(now time.Time) {
	current := now.UnixNano() / int64(rateBucket)
	if current-r.last >= rateBuckets {
		clear(r.counts[:])
		r.last = current
	}
	for r.last < current {
		r.last++
		r.counts[r.last%rateBuckets] = 0
	}
}

// perSecond returns the rate of recent events. known is false if there are too few of them.
func (r *eventRate) perSecond(now time.Time) (rate float64, known bool) {
	if r.first.IsZero() || now.Sub(r.first) < minRateAge {
		return 0, false
	}
	r.advance(now)
	// The newest bucket is not complete.
	partial := time.Duration(now.UnixNano() % int64(rateBucket))
	if rate, events := r.over(now, shortRateWindow, partial); events >= minShortEvents {
		return rate, true
	}
	rate, events := r.over(now, longRateWindow, partial)
	return rate, events >= minLongEvents
}

// lowest returns the lower of the rates over the short and the long window, and highest the higher
// one. At the start of a peak few slots become free, since few requests were placed one answer
// earlier, and then as many as requests arrive: only the mean over a whole answer shows how many
// there are.
func (r *eventRate) lowest(now time.Time) float64 {
	short, long := r.both(now)
	return min(short, long)
}

func (r *eventRate) highest(now time.Time) float64 {
	short, long := r.both(now)
	return max(short, long)
}

func (r *eventRate) both(now time.Time) (short, long float64) {
	if r.first.IsZero() || now.Sub(r.first) < minRateAge {
		return 0, 0
	}
	r.advance(now)
	partial := time.Duration(now.UnixNano() % int64(rateBucket))
	short, _ = r.over(now, shortRateWindow, partial)
	long, _ = r.over(now, longRateWindow, partial)
	return short, long
}

func (r *eventRate) over(now time.Time, window, partial time.Duration) (rate float64, events int) {
	buckets := int64(window / rateBucket)
	for i := range buckets {
		events += r.counts[(r.last-i)%rateBuckets]
	}
	span := min(window-rateBucket+partial, now.Sub(r.first))
	return float64(events) / span.Seconds(), events
}

// waitInputs are what the wait of an online request is estimated from.
type waitInputs struct {
	// ahead is the number of online requests that get slots before it, waiting that of all
	// online requests of the service, itself included.
	ahead, waiting int
	// freed are the slots that become free per second, above 0. surplus is by how much they
	// exceed the requests that arrive.
	freed, surplus float64
	// overtaking are the later requests per second that go before this one, since its
	// organisation has used its share.
	overtaking float64
	// sendIn is the time until the request must be sent to be on time, waitIn the time until it
	// stops waiting.
	sendIn, waitIn time.Duration
}

// waitEstimate is the estimate for one request.
type waitEstimate struct {
	// expected is when it gets a slot.
	expected time.Duration
	// unservable is set if it gets none before it stops waiting. overShare is set if this is
	// because its organisation has used its share.
	unservable, overShare bool
}

// unbounded is the estimate for a request that gets no slot as long as the load stays as it is.
const unbounded = time.Hour

// estimateWait estimates the wait of an online request.
//
// A request that can be on time waits for those ahead of it, and for those that arrive later and go
// first because their organisations are within their share. A request that cannot be on time gets a slot only when none is needed for those that
// can, which happens as far as slots become free faster than requests arrive.
func estimateWait(in waitInputs) waitEstimate {
	byPosition := seconds(float64(in.ahead+1) / in.freed)
	out := waitEstimate{expected: unbounded}
	if left := in.freed - in.overtaking; left > 0 {
		out.expected = seconds(float64(in.ahead+1) / left)
	}
	if out.expected <= in.sendIn {
		return out
	}
	out.overShare = byPosition <= in.sendIn
	if in.surplus > 0 {
		out.expected = seconds(float64(in.waiting) / in.surplus)
	} else {
		out.expected = unbounded
	}
	out.unservable = out.expected > in.waitIn
	return out
}

const (
	// minRoomIn is the shortest time after which a rejected caller is told to return: half the
	// duration of a stream, within which half of the slots become free.
	minRoomIn = 350 * time.Millisecond
	// maxRoomIn is the longest. Callers honour at most a third of their remaining time, of
	// which jitter may add half.
	maxRoomIn = time.Second
)

// roomIn returns the time after which a rejected request would be on time if it were sent again:
// when the requests that wait now, and those that arrive until then, have been served.
func roomIn(in waitInputs) time.Duration {
	backlog := seconds(float64(in.waiting) / in.freed)
	growth := max(1, 1-in.surplus/in.freed)
	return min(maxRoomIn, max(minRoomIn, time.Duration(float64(backlog)*growth)-in.sendIn))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, unbounded.Seconds()) * float64(time.Second))
}
