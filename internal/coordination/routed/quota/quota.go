// Package quota enforces the rates of organisations over all instances together.
//
// Each instance keeps a token bucket per organisation for the whole fleet. The bucket fills
// at the organisation's rate. It loses a token for each request that this instance admits,
// and the tokens of requests that other instances have admitted as soon as they report
// them. So a rate can be used wherever its callers are, without a message for each request.
// Requests that several instances admit between two reports may drive a bucket below zero.
// The next requests are rejected until that debt is repaid. From a bucket that is low, each
// instance admits only the share of the organisation's requests that arrive at it.
//
// The bucket is filled for the time for which reports of the other instances are known. An
// instance that is silent may still admit requests: it may be isolated and have callers of
// its own. So its share of the rate and burst is reserved for it while it is silent. Both
// sides of a network partition do so, and the shares add up to the whole.
//
// An instance that has just started does not know the levels of the buckets, see startup.go.
package quota

import (
	"maps"
	"time"

	"merlintiller/internal/wait"
)

const (
	// minCapacity is the smallest capacity of a bucket whose burst is reduced to this
	// instance's share. With less than one token the instance could admit nothing at all.
	// With exactly one it would lose the tokens that arrive before the next request.
	minCapacity = 1.25
	// presumedDeadShare is the share of the fleet up to which silent instances are presumed
	// dead, so that nothing is reserved for them. Otherwise one instance of nine that has
	// lost power for good would withhold a ninth of every rate until it is forgotten. If
	// the silent instances are alive after all, isolated with callers of their own,
	// organisations get that much more than their rate for that time. Users tolerate a
	// tenth and some requests more. If a larger share is silent, the cause is most likely a
	// network partition in which both sides serve.
	presumedDeadShare = 0.12
	// maxRefillAge is the maximum age of a bucket's last refill when tokens are taken off
	// it. With an older one, the next refill would add tokens for which the bucket had no
	// room before the others were taken off.
	maxRefillAge = 50 * time.Millisecond
	// fullMargin is how far below its capacity a bucket may be to count as full and be left
	// out of reports.
	fullMargin = 0.5
)

// Limit is the limit of an organisation over the whole fleet. A rate of 0 means no limit.
type Limit struct {
	// Rate is in requests per second. Burst is in requests.
	Rate, Burst float64
}

// Counts are the requests admitted since an instance's start, less those refunded, by
// organisation.
type Counts map[string]int64

// BucketLevels are the levels of the buckets that are not full, by organisation. Nil means
// that they are not known.
type BucketLevels map[string]float64

// Buckets keeps the buckets of all organisations. It performs no I/O and is not safe for
// concurrent use.
type Buckets struct {
	// startedAt is the start of this incarnation, now the latest time that was passed in.
	startedAt, now time.Time
	clock          wait.RunClock
	startup        startup
	limits         map[string]Limit
	// limitsVersion is the version of the configuration that limits are from.
	limitsVersion int64
	buckets       map[string]*bucket
	peers         map[string]*peer
}

type bucket struct {
	level    float64
	admitted int64
	// counted are the requests that other instances reported before the levels were known.
	counted int64
	// asked counts the requests that this instance was asked for, admitted or not.
	asked int64
	// owesUnknown reports that the organisation is charged for what it may have used before a
	// start of the whole fleet once the bucket is empty.
	owesUnknown bool
	// share is the share of the burst that this instance may use, as of the last refill.
	// reserved and reservedDebt are the tokens and the debt set aside for silent instances.
	share, reserved, reservedDebt float64
	// history has the recent values of level.
	history history
	// creditedTime is the time for which the bucket has been filled, refilledAt when that
	// was last done.
	creditedTime time.Duration
	refilledAt   time.Time
	pacer        pacer
}

type peer struct {
	start    int64
	lastSeen time.Time
	// stalledUntilSeen is the time until lastSeen for which this process did not run.
	stalledUntilSeen time.Duration
	// knownSince is when this instance learned of the peer.
	knownSince time.Time
	down       bool
	// hasQuotaState reports that the peer knows the levels. hasBaseline reports that the
	// peer's counts are known, so that changes of them can be applied.
	hasQuotaState, hasBaseline bool
	// silenceTimeout is the time without a report after which the peer's share is reserved
	// for it.
	silenceTimeout time.Duration
	counts         Counts
	// asked are the requests that the peer was asked for, as long as it tells them.
	asked Counts
}

// NewBuckets returns the buckets of an instance that starts now.
func NewBuckets(now time.Time, instance string) *Buckets {
	return &Buckets{
		startedAt: now,
		now:       now,
		startup:   newStartup(now, instance),
		limits:    map[string]Limit{},
		buckets:   map[string]*bucket{},
		peers:     map[string]*peer{},
	}
}

// SetLimits replaces the limits of all organisations. Buckets keep their level unless it
// exceeds a smaller burst.
func (bs *Buckets) SetLimits(now time.Time, limits map[string]Limit) {
	bs.refillAll(now)
	if bs.startup.limitsKnownAt.IsZero() {
		bs.startup.limitsKnownAt = now
	}
	bs.limits = limits
	for name, b := range bs.buckets {
		limit, known := limits[name]
		if !known {
			delete(bs.buckets, name)
			continue
		}
		b.level = min(b.level, bs.capacity(limit, b.share))
	}
}

// Report is the quota state in a message of another instance.
type Report struct {
	Instance string
	// Start distinguishes the incarnations of the instance.
	Start int64
	// Counts are the requests that the instance has admitted since its start: all of them
	// if Full is set, else those that changed.
	Counts Counts
	Full   bool
	// Uptime is the time since the instance's start.
	Uptime time.Duration
	// HasQuotaState reports that the instance knows the levels. Levels is nil if the
	// message does not carry them.
	HasQuotaState bool
	Levels        BucketLevels
	// Asked are the requests that the instance was asked for since its start, nil if it does not
	// tell them.
	Asked Counts
	// Doubtful reports that the levels have begun without knowledge of what was admitted before.
	Doubtful bool
	// SilenceTimeout is the time without a report after which the instance's share is
	// reserved for it.
	SilenceTimeout time.Duration
}

// ApplyReport processes a report of another instance.
func (bs *Buckets) ApplyReport(now time.Time, r Report) {
	bs.now = now
	p := bs.peers[r.Instance]
	if p == nil || p.start != r.Start || p.down {
		bs.changePeers(now, func() { p = bs.registerPeer(now, p, r) })
	}
	if p.hasBaseline && len(r.Counts) > 0 {
		bs.applyCounts(now, p, r.Counts)
	}
	p.lastSeen, p.hasQuotaState, p.silenceTimeout = now, r.HasQuotaState, r.SilenceTimeout
	p.stalledUntilSeen = bs.clock.StalledUntil(now)
	if r.Asked != nil {
		p.asked = r.Asked
	}
	bs.receiveLevels(now, r.Instance, r.Levels, r.Doubtful)
}

// applyCounts takes the requests that a peer has admitted off the buckets. It must be
// called before the peer's last report time is updated: the tokens for the time until now
// are added only after what the peer has used of them.
func (bs *Buckets) applyCounts(now time.Time, p *peer, counts Counts) {
	for org, count := range counts {
		if count == p.counts[org] {
			continue
		}
		b := bs.bucket(now, org)
		if !bs.levelsKnown() {
			b.counted += count - p.counts[org]
			p.counts[org] = count
			continue
		}
		if now.Sub(b.refilledAt) > maxRefillAge {
			bs.refill(now, org, bs.shares(now))
		}
		b.level -= float64(count - p.counts[org])
		b.pacer.fleetUsage += float64(count - p.counts[org])
		p.counts[org] = count
	}
}

// registerPeer adds a peer, or replaces its previous incarnation. The peer's baseline is
// the first report with all counts.
func (bs *Buckets) registerPeer(now time.Time, previous *peer, r Report) *peer {
	if previous != nil && previous.start == r.Start {
		previous.down = false
		return previous
	}
	p := &peer{start: r.Start, knownSince: now, counts: Counts{}}
	if previous != nil && previous.start == 0 {
		p.knownSince = previous.knownSince
	}
	bs.peers[r.Instance] = p
	if r.Uptime <= now.Sub(bs.startedAt) {
		// The peer started after this instance. All requests that it has admitted are taken
		// off here, also those reported later.
		p.hasBaseline = true
		return p
	}
	// The peer started before this instance. The requests that it admitted until now are
	// already part of the levels that are adopted.
	if r.Full {
		p.hasBaseline = true
		p.counts = maps.Clone(r.Counts)
		if p.counts == nil {
			p.counts = Counts{}
		}
	} else {
		p.start = 0
	}
	return p
}

// Liveness is a report of when another instance last received a heartbeat from an instance.
type Liveness struct {
	Instance string
	// Start distinguishes the incarnations of the instance.
	Start int64
	At    time.Time
}

// ConfirmAlive processes liveness reports about instances that reported nothing new.
func (bs *Buckets) ConfirmAlive(now time.Time, reports []Liveness) {
	bs.now = now
	for _, r := range reports {
		p := bs.peers[r.Instance]
		if p == nil || p.start != r.Start && p.start != 0 || !r.At.After(p.lastSeen) {
			continue
		}
		if p.down {
			bs.changePeers(now, func() { p.down = false })
		}
		p.lastSeen, p.stalledUntilSeen = r.At, bs.clock.StalledUntil(now)
	}
}

// BucketLevels returns the buckets that are not full, nil if the state of the buckets is not
// known.
func (bs *Buckets) BucketLevels(now time.Time) BucketLevels {
	bs.now = now
	if !bs.resolveLevels(now) {
		return nil
	}
	levels := BucketLevels{}
	s := bs.shares(now)
	for org, b := range bs.buckets {
		bs.refill(now, org, s)
		if b.level < bs.capacity(bs.limits[org], b.share)-fullMargin {
			levels[org] = b.level
		}
	}
	return levels
}

// Tick records that this process runs, and when Tick will be called next. Time by which it
// is late does not count as silence of the other instances.
func (bs *Buckets) Tick(now time.Time, period time.Duration) { bs.clock.Tick(now, period) }

// AddPeer adds an instance that has not reported yet.
func (bs *Buckets) AddPeer(now time.Time, name string) {
	bs.now = now
	if bs.peers[name] == nil {
		bs.changePeers(now, func() { bs.peers[name] = &peer{knownSince: now, counts: Counts{}} })
	}
}

// MarkDown records that an instance can admit no more requests.
func (bs *Buckets) MarkDown(name string) {
	if p := bs.peers[name]; p != nil && !p.down {
		bs.changePeers(bs.now, func() { p.down = true })
	}
}

// Admit decides whether to admit a request of an organisation.
func (bs *Buckets) Admit(now time.Time, org string) Decision {
	limit, known := bs.limits[org]
	if !known || limit.Rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	bs.now = now
	b := bs.bucket(now, org)
	b.asked++
	s := bs.shares(now)
	if !bs.levelsKnown() {
		return bs.admitBeforeLevels(now, org, b, s)
	}
	bs.refill(now, org, s)
	bs.restrainHot(now, org, b, limit)
	d := bs.decision(now, b, s)
	if b.level >= 1 && b.pacer.admit(now, limit, b.level, s) {
		b.level--
		b.admitted++
		d.Admitted = true
		return d
	}
	if b.level >= 1 {
		d.Paced, d.Wait = true, b.pacer.untilToken(limit, b.level, s)
		return d
	}
	d.Wait = time.Duration((1 - b.level) / (limit.Rate * b.share) * float64(time.Second))
	return d
}

// Refund returns the token of a request that did not run.
func (bs *Buckets) Refund(org string) {
	if b := bs.buckets[org]; b != nil {
		b.level++
		b.admitted--
	}
}

// AdmittedCounts returns the requests that this instance has admitted since its start.
func (bs *Buckets) AdmittedCounts() Counts {
	counts := make(Counts, len(bs.buckets))
	for name, b := range bs.buckets {
		if b.admitted != 0 {
			counts[name] = b.admitted
		}
	}
	return counts
}

func (bs *Buckets) bucket(now time.Time, org string) *bucket {
	if b := bs.buckets[org]; b != nil {
		return b
	}
	s := bs.shares(now)
	if b := bs.buckets[org]; b != nil {
		// The levels have become known, and the buckets of all organisations have begun.
		return b
	}
	b := &bucket{
		creditedTime: s.creditedTime, refilledAt: now, share: s.own, level: bs.newLevel(now, bs.limits[org], s.own),
		pacer: pacer{updatedAt: now, share: 1 / s.reachable, tokens: minTokens},
	}
	bs.buckets[org] = b
	return b
}
