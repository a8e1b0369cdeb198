package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An instance that has just started knows neither the levels of the buckets nor the other
// instances. It adopts the levels from an instance that knows them. If there is none, all
// instances have been restarted, and what was admitted before is not known to anyone; then
// the buckets begin with little more than what the rates have yielded since the start.
//
// That nobody knows the levels must not be concluded from a part of the fleet. Instances
// that start together hear of each other first. If they took that for the whole fleet, they
// would give each organisation a whole burst, and tell others to do so too.
const (
	// stateWaitTimeout is how long a new instance waits for the levels once it knows the
	// limits and the other instances. Those that know the levels may be silent.
	stateWaitTimeout = time.Second
	// fleetWaitTimeout is how long a new instance waits for a complete list of the instances
	// once it knows the limits. By then those that can be reached have found each other.
	fleetWaitTimeout = 2 * time.Second
	// settleTime is how long a new instance lowers its levels to those that others tell. The
	// first levels may be of an instance that has just started too, and requests that were
	// admitted between the adopted levels and the first counts of an instance are missing in
	// both.
	settleTime = 2 * time.Second
	// settleMargin is how much older what another instance tells may be than what is known
	// here. Levels that are lower by no more than the rate yields in that time don't show that
	// the own ones are too high.
	settleMargin = 300 * time.Millisecond
	// startTokens and startTime give what a bucket holds at a start of the whole fleet: some
	// tokens and what its rate yields in some time. Users tolerate more than that above the
	// rate.
	startTokens = 10
	startTime   = 300 * time.Millisecond
	// unknownDebtTime and unknownDebtPeriod are for debts that a start of the whole fleet
	// forgets. An organisation that begins to send several times its rate uses more than its
	// burst until the instances have heard of each other's requests. So one that empties its
	// bucket within unknownDebtPeriod after the start is charged what its rate yields in
	// unknownDebtTime, less startTokens.
	unknownDebtTime   = 1500 * time.Millisecond
	unknownDebtPeriod = 5 * time.Second
	// maxEarlyRetryAfter bounds the Retry-After of requests that came too early after the
	// start. Callers honour it up to a third of their remaining time, which is 5 s at first.
	maxEarlyRetryAfter = 1500 * time.Millisecond
	// levelsMessageWait is the time until the next message of an instance that knows the levels.
	levelsMessageWait = 200 * time.Millisecond
	// earlyRetrySpread is the time over which such requests come back. All that were rejected
	// in a second would otherwise return at one moment, and find fewer tokens and slots than
	// they need together.
	earlyRetrySpread = 400 * time.Millisecond
)

// startup is what an instance knows since its start.
type startup struct {
	instance string
	// random draws the jitter of Retry-After.
	random *rand.Rand
	// silentAtLevels is the number of instances that had not responded when the levels became
	// known.
	silentAtLevels int
	// levelsFrom is the instance that the levels were adopted from, LevelsUnknown or
	// LevelsOfNobody, since levelsAt.
	levelsFrom string
	levelsAt   time.Time
	// doubtful reports that the levels are of nobody, or were adopted from an instance with such
	// levels.
	doubtful bool
	// limitsKnownAt is when the limits were first set, fleetKnownAt when all instances were
	// known; zero before.
	limitsKnownAt, fleetKnownAt time.Time
}

func newStartup(now time.Time, instance string) startup {
	// Instances that start together must not draw the same jitter.
	random := rand.New(rand.NewPCG(xxhash.Sum64String(instance), uint64(now.UnixNano())))
	return startup{instance: instance, random: random, levelsFrom: LevelsUnknown, levelsAt: now}
}

// LevelsStart describes how an instance got the levels of the rates after its start.
type LevelsStart struct {
	// From is the instance that the levels were adopted from, LevelsUnknown or LevelsOfNobody.
	From string
	// Wait is the time from the start until the levels were known, or until now. Silent is the
	// number of listed instances that had not responded by then.
	Wait   time.Duration
	Silent int
}

// LevelsStart returns how this instance got the levels.
func (bs *Buckets) LevelsStart(now time.Time) LevelsStart {
	u := bs.startup
	if !bs.levelsKnown() {
		return LevelsStart{From: u.levelsFrom, Wait: now.Sub(bs.startedAt), Silent: bs.peerAnswers().silent}
	}
	return LevelsStart{From: u.levelsFrom, Wait: u.levelsAt.Sub(bs.startedAt), Silent: u.silentAtLevels}
}

// SetFleetKnown records that all instances of the fleet have been added.
func (bs *Buckets) SetFleetKnown(now time.Time) {
	bs.now = now
	if bs.startup.fleetKnownAt.IsZero() {
		bs.startup.fleetKnownAt = now
	}
}

// WantsLevels reports whether this instance has started so recently that it needs the levels
// that other instances know.
func (bs *Buckets) WantsLevels(now time.Time) bool {
	return !bs.levelsKnown() || now.Sub(bs.startup.levelsAt) < settleTime
}

func (bs *Buckets) levelsKnown() bool { return bs.startup.levelsFrom != LevelsUnknown }

// waitsSince returns since when this instance knows all that it needs to use levels: the
// limits and the other instances. It returns zero before.
func (bs *Buckets) waitsSince(now time.Time) time.Time {
	since := bs.waitBegins()
	if since.After(now) {
		return time.Time{}
	}
	return since
}

// waitBegins returns when the wait for the levels began or begins at the latest, zero if the
// limits are not known.
func (bs *Buckets) waitBegins() time.Time {
	u := bs.startup
	if u.limitsKnownAt.IsZero() {
		return time.Time{}
	}
	since := u.limitsKnownAt.Add(fleetWaitTimeout)
	if !u.fleetKnownAt.IsZero() {
		since = earlier(since, later(u.limitsKnownAt, u.fleetKnownAt))
	}
	return since
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Doubtful reports whether the levels have begun without knowledge of what was admitted
// before, so recently that it still matters.
func (bs *Buckets) Doubtful(now time.Time) bool {
	return bs.startup.doubtful && now.Sub(bs.startup.levelsAt) < unknownDebtPeriod
}

// receiveLevels processes levels that another instance has told: adopts them, or lowers the
// own ones to them.
func (bs *Buckets) receiveLevels(now time.Time, from string, levels BucketLevels, doubtful bool) {
	if levels == nil || !bs.WantsLevels(now) {
		return
	}
	if bs.levelsKnown() {
		bs.lowerLevels(now, levels)
		return
	}
	if bs.waitsSince(now).IsZero() {
		return
	}
	bs.beginWith(now, from, doubtful, func(org string, limit Limit) float64 {
		level := limit.Burst
		if told, found := levels[org]; found {
			level = min(level, told)
		}
		return level - float64(bs.buckets[org].admitted)
	})
}

// lowerLevels lowers the levels to those that another instance has told.
func (bs *Buckets) lowerLevels(now time.Time, levels BucketLevels) {
	s := bs.shares(now)
	for org, told := range levels {
		limit, known := bs.limits[org]
		if !known {
			continue
		}
		b := bs.bucket(now, org)
		bs.refill(now, org, s)
		b.level = min(b.level, told+limit.Rate*settleMargin.Seconds())
		b.owesUnknown = b.owesUnknown && told >= 1
	}
}

// resolveLevels reports whether the levels are known. If no other instance can know them, or
// none has sent them in time, this instance begins without.
func (bs *Buckets) resolveLevels(now time.Time) bool {
	if bs.levelsKnown() {
		return true
	}
	since := bs.waitsSince(now)
	if since.IsZero() || now.Sub(since) < bs.levelsWait() {
		return false
	}
	bs.beginWith(now, LevelsOfNobody, true, func(org string, limit Limit) float64 {
		b := bs.buckets[org]
		return bs.startLevel(now, limit) - float64(b.admitted+b.counted)
	})
	return true
}

// beginWith begins to use the buckets, with levels for the whole fleet that are from an
// instance or nobody. Parts of them are reserved for the instances that are not heard yet.
func (bs *Buckets) beginWith(now time.Time, from string, doubtful bool, levelOf func(org string, limit Limit) float64) {
	bs.startup.levelsFrom, bs.startup.levelsAt, bs.startup.doubtful = from, now, doubtful
	bs.startup.silentAtLevels = bs.peerAnswers().silent
	s := bs.shares(now)
	for org, limit := range bs.limits {
		if limit.Rate <= 0 {
			continue
		}
		b := bs.bucket(now, org)
		b.share, b.reservedDebt = 1, 0
		b.level, b.reserved = levelOf(org, limit), 0
		b.owesUnknown = doubtful && b.level+b.reserved >= 1
		b.history = history{}
		b.creditedTime, b.refilledAt = s.creditedTime, now
		bs.updateReserve(b, s)
	}
}

// roundedShare returns this instance's share of a number of tokens, in whole tokens.
func (bs *Buckets) roundedShare(org string, tokens float64, s shares) float64 {
	return math.Floor(max(0, tokens)/s.instances + bs.rounding(org))
}

// peerAnswers counts what the other instances that are not down have reported of the levels.
type peerAnswers struct {
	// know and unaware are those that reported that they know the levels, or that they don't.
	// silent have not reported anything.
	know, unaware, silent int
}

func (bs *Buckets) peerAnswers() (a peerAnswers) {
	for _, p := range bs.peers {
		switch {
		case p.down:
		case p.lastSeen.IsZero():
			a.silent++
		case p.hasQuotaState:
			a.know++
		default:
			a.unaware++
		}
	}
	return a
}

// levelsWait returns how long this instance waits for the levels once it knows the limits and the
// other instances: not at all if all of them have reported that they don't know them.
func (bs *Buckets) levelsWait() time.Duration {
	a := bs.peerAnswers()
	if bs.startup.fleetKnownAt.IsZero() || a.know+a.silent > 0 {
		return stateWaitTimeout
	}
	return 0
}

// earlyRetryAfter returns when a request may come back that came before the levels are known: the
// time until they should be known, and a random part of earlyRetrySpread.
func (bs *Buckets) earlyRetryAfter(now time.Time) time.Duration {
	jitter := time.Duration(bs.startup.random.Int64N(int64(earlyRetrySpread)))
	return min(bs.expectedLevelsWait(now), maxEarlyRetryAfter-earlyRetrySpread) + jitter
}

// expectedLevelsWait returns the time until the levels should be known: the longest one, unless an
// instance knows them.
func (bs *Buckets) expectedLevelsWait(now time.Time) time.Duration {
	if bs.peerAnswers().know > 0 {
		return levelsMessageWait
	}
	return max(0, bs.waitBegins().Add(bs.levelsWait()).Sub(now))
}

// startLevel returns the level of a bucket for the whole fleet if nobody knows what was
// admitted before the start. What the rate has yielded since the start was not used by
// anyone else, as far as it is not counted.
func (bs *Buckets) startLevel(now time.Time, limit Limit) float64 {
	yielded := limit.Rate * (startTime + now.Sub(bs.startedAt)).Seconds()
	return min(limit.Burst, startTokens+yielded)
}

// chargeUnknownDebt takes off what an organisation may have used before a start of the whole
// fleet, once its bucket is empty.
func (bs *Buckets) chargeUnknownDebt(now time.Time, b *bucket, limit Limit) {
	if !b.owesUnknown || b.level+b.reserved >= 1 {
		return
	}
	if bs.Doubtful(now) {
		bs.chargeDebt(b, limit)
	}
	b.owesUnknown = false
}

func (bs *Buckets) chargeDebt(b *bucket, limit Limit) {
	b.owesUnknown = false
	b.level -= max(0, limit.Rate*unknownDebtTime.Seconds()-startTokens)
}

// newLevel returns the level of a bucket that is new here.
func (bs *Buckets) newLevel(now time.Time, limit Limit, own float64) float64 {
	if bs.startup.levelsFrom == LevelsOfNobody {
		return min(bs.capacity(limit, own), bs.startLevel(now, limit)*own)
	}
	return bs.capacity(limit, own)
}

// admitBeforeLevels decides about a request before the levels are known. This instance uses
// its share of what the fleet may use without them.
func (bs *Buckets) admitBeforeLevels(now time.Time, org string, b *bucket, s shares) Decision {
	d := bs.decision(now, b, s)
	d.Level = 0
	if !bs.waitsSince(now).IsZero() {
		d.Level = bs.roundedShare(org, bs.startLevel(now, bs.limits[org]), s) - float64(b.admitted)
	}
	if d.Level < 1 {
		d.Early, d.Wait = true, bs.earlyRetryAfter(now)
		return d
	}
	b.admitted++
	d.Admitted = true
	return d
}

// rounding returns a number from 0 to 1 for an organisation at this instance. A share of less
// than a token, rounded down after it is added, gives a token to as many instances as the
// shares together allow.
func (bs *Buckets) rounding(org string) float64 {
	return float64(xxhash.Sum64String(bs.startup.instance+"/"+org)>>11) / (1 << 53)
}
