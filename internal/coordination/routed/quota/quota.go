// Package quota holds organisations to their rates over all instances together.
//
// Each instance keeps a token bucket for each organisation that stands for the
// whole fleet: it fills at the organisation's rate, loses a token for each
// request that this instance lets in, and loses what other instances let in as
// soon as they tell. So a rate is used wherever its callers are, without a
// message for each request; what is let in between two messages is a debt that
// the next refusals pay. A bucket that runs low is used by each instance for the
// part of the organisation's requests that come to it.
//
// The bucket fills by the time for which others were heard. An instance that has
// not been heard may let requests in all the same, cut off with callers of its
// own: its part of the rate and burst is left to it while it is silent. Both
// sides of a cut do so, and the parts add up to the whole.
//
// An instance that has just started knows nothing of the buckets. It takes them
// over from one that does, and until then uses no more than its part.
package quota

import (
	"maps"
	"time"
)

const (
	// leastCap is the smallest burst that an instance keeps to itself when the
	// others are silent. Below one token it could let nothing in at all, and at one
	// it would lose what comes in until the next request does.
	leastCap = 1.25
	// aloneAfter is how long an instance waits to hear of the buckets from one
	// that knows them. All instances may have started anew.
	aloneAfter = time.Second
	// likelyDead is the part of the fleet up to which silent instances are taken for
	// dead, so that nothing is left to them. One of nine that lost its power for good
	// would otherwise take a ninth of every rate with it until it is forgotten. If they
	// live all the same, cut off with callers of their own, organisations get that
	// much more than their rate for as long: users bear a tenth and some requests.
	// Beyond that part silence is most likely a cut, where both sides serve.
	likelyDead = 0.12
	// refillEvery is how old a bucket's last refill may be when something is taken off it.
	// An older one would let more spill over than there was room for.
	refillEvery = 50 * time.Millisecond
	// fullMargin is how far below its cap a bucket may be to count as full, so
	// that it is not told.
	fullMargin = 0.5
)

// Limit is what an organisation may ask of the whole fleet. A rate of 0 is no
// limit.
type Limit struct {
	// Rate is in requests a second, Burst in requests on top.
	Rate, Burst float64
}

// Counts are requests let in since an instance started, by organisation, less
// those that were given back.
type Counts map[string]int64

// BucketLevels are the buckets that are not full. Nil says that they are not known.
type BucketLevels map[string]float64

// Ledger keeps the buckets. It is pure and not safe for concurrent use.
type Ledger struct {
	// began is when this life started, now the latest moment that it was told of.
	began, now time.Time
	// informed says that the buckets were taken over from one that knew them, or
	// that nobody did.
	informed bool
	limits   map[string]Limit
	accounts map[string]*account
	peers    map[string]*peer
}

type account struct {
	level float64
	own   int64
	// share is the part of the burst that may be used here, as of the last refill. aside and
	// asideDebt are what was set aside for the others.
	share, aside, asideDebt float64
	// levels are what level was lately.
	levels history
	// settled is the time for which the bucket was filled, filledAt when it was.
	settled  time.Duration
	filledAt time.Time
	pacer    pacer
}

type peer struct {
	start int64
	heard time.Time
	// known is when it became known.
	known time.Time
	gone  bool
	// informed says that it knows the buckets, met that its counts are known.
	informed, met bool
	// patience is the silence after which its part is left to it.
	patience time.Duration
	counts   Counts
}

// New returns a ledger of an instance that starts now.
func New(now time.Time) *Ledger {
	return &Ledger{
		began:    now,
		now:      now,
		limits:   map[string]Limit{},
		accounts: map[string]*account{},
		peers:    map[string]*peer{},
	}
}

// SetLimits takes over the limits of all organisations. Buckets keep their
// level, cut to a smaller burst.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	l.refillAll(now)
	l.limits = limits
	for name, a := range l.accounts {
		limit, known := limits[name]
		if !known {
			delete(l.accounts, name)
			continue
		}
		a.level = min(a.level, l.cap(limit, a.share))
	}
}

// Report is what another instance tells.
type Report struct {
	Instance string
	// Start tells its lives apart.
	Start int64
	// Counts are what it let in since its start: all if Whole, else those that
	// changed.
	Counts Counts
	Full  bool
	// Uptime is the time since its start.
	Uptime time.Duration
	// HasQuotaState says that it knows the buckets, Levels are those, nil if they are not told.
	HasQuotaState bool
	Levels   BucketLevels
	// SilenceTimeout is the silence after which its part is left to it.
	SilenceTimeout time.Duration
}

// ApplyReport takes over what another instance tells.
func (l *Ledger) ApplyReport(now time.Time, r Report) {
	l.now = now
	p := l.peers[r.Instance]
	if p == nil || p.start != r.Start || p.gone {
		l.divide(now, func() { p = l.meet(now, p, r) })
	}
	if p.met && len(r.Counts) > 0 {
		l.take(now, p, r.Counts)
	}
	p.heard, p.informed, p.patience = now, r.HasQuotaState, r.SilenceTimeout
	l.inform(now, r.Levels)
}

// take counts what an instance let in. That it lives is noted after this: the tokens of
// the time until now come after what it used of them.
func (l *Ledger) take(now time.Time, p *peer, counts Counts) {
	for org, count := range counts {
		if count == p.counts[org] {
			continue
		}
		a := l.account(now, org)
		if now.Sub(a.filledAt) > refillEvery {
			l.refill(now, org, l.parts(now))
		}
		a.level -= float64(count - p.counts[org])
		a.pacer.used += float64(count - p.counts[org])
		p.counts[org] = count
	}
}

// meet notes an instance, or a new life of one. Its counts are taken from the
// first message that has all of them.
func (l *Ledger) meet(now time.Time, before *peer, r Report) *peer {
	if before != nil && before.start == r.Start {
		before.gone = false
		return before
	}
	p := &peer{start: r.Start, known: now, counts: Counts{}}
	if before != nil && before.start == 0 {
		p.known = before.known
	}
	l.peers[r.Instance] = p
	if r.Uptime <= now.Sub(l.began) {
		// All that it let in counts here, also what is told later.
		p.met = true
		return p
	}
	// It has been there for longer. What it let in before counts in the buckets
	// that are taken over.
	if r.Full {
		p.met = true
		p.counts = maps.Clone(r.Counts)
		if p.counts == nil {
			p.counts = Counts{}
		}
	} else {
		p.start = 0
	}
	return p
}

// Liveness says when an instance was heard of by another one.
type Liveness struct {
	Instance string
	// Start tells its lives apart.
	Start int64
	At    time.Time
}

// ConfirmAlive takes over signs of instances that told nothing new.
func (l *Ledger) ConfirmAlive(now time.Time, signs []Liveness) {
	l.now = now
	for _, s := range signs {
		p := l.peers[s.Instance]
		if p == nil || p.start != s.Start && p.start != 0 || !s.At.After(p.heard) {
			continue
		}
		if p.gone {
			l.divide(now, func() { p.gone = false })
		}
		p.heard = s.At
	}
}

// inform takes the buckets over, once, and not before it is known whose there are.
func (l *Ledger) inform(now time.Time, levels BucketLevels) {
	if l.informed || levels == nil || len(l.limits) == 0 {
		return
	}
	l.divide(now, func() { l.informed = true })
	parts := l.parts(now)
	for org, limit := range l.limits {
		a := l.account(now, org)
		a.level = l.cap(limit, parts.own)
		if level, told := levels[org]; told {
			a.level = min(a.level, level)
		}
	}
}

// BucketLevels gives the buckets that are not full, nil if they are not known.
func (l *Ledger) BucketLevels(now time.Time) BucketLevels {
	l.now = now
	if !l.knows(now) {
		return nil
	}
	levels := BucketLevels{}
	parts := l.parts(now)
	for org, a := range l.accounts {
		l.refill(now, org, parts)
		if a.level < l.cap(l.limits[org], a.share)-fullMargin {
			levels[org] = a.level
		}
	}
	return levels
}

// knows says whether the buckets are known. If nobody else can know them, they
// are taken as they are here.
func (l *Ledger) knows(now time.Time) bool {
	if !l.informed && (l.nobodyKnows() || now.Sub(l.began) > aloneAfter) {
		l.informed = true
		settled := l.parts(now).settled
		for _, a := range l.accounts {
			a.settled = settled
		}
	}
	return l.informed
}

// nobodyKnows says that the buckets are lost with all who knew them. While no other instance
// is known that can't be said.
func (l *Ledger) nobodyKnows() bool {
	if len(l.peers) == 0 {
		return false
	}
	for _, p := range l.peers {
		if !p.gone && (p.heard.IsZero() || p.informed) {
			return false
		}
	}
	return true
}

// AddPeer makes an instance known that was not heard yet.
func (l *Ledger) AddPeer(now time.Time, name string) {
	l.now = now
	if l.peers[name] == nil {
		l.divide(now, func() { l.peers[name] = &peer{known: now, counts: Counts{}} })
	}
}

// MarkDown notes that an instance can let nothing in any more.
func (l *Ledger) MarkDown(name string) {
	if p := l.peers[name]; p != nil && !p.gone {
		l.divide(l.now, func() { p.gone = true })
	}
}

// Decision is whether a request is let in, and by what that was decided.
type Decision struct {
	Admitted bool
	// Wait is how long it takes until one more may come, if it is not.
	Wait time.Duration
	// Level is the tokens that were there, Share the part of the fleet that may
	// be used here.
	Level, Share float64
}

// Admit lets a request in, or says how long it takes until one more may come.
func (l *Ledger) Admit(now time.Time, org string) Decision {
	limit, known := l.limits[org]
	if !known || limit.Rate <= 0 {
		return Decision{Admitted: true, Share: 1}
	}
	l.now = now
	a := l.account(now, org)
	parts := l.parts(now)
	l.refill(now, org, parts)
	d := Decision{Level: a.level, Share: a.share}
	if a.level >= 1 && a.pacer.lets(now, limit, a.level, parts) {
		a.level--
		a.own++
		d.Admitted = true
		return d
	}
	d.Wait = time.Duration((1 - a.level) / (limit.Rate * a.share) * float64(time.Second))
	return d
}

// Refund returns the token of a request that did not run.
func (l *Ledger) Refund(org string) {
	if a := l.accounts[org]; a != nil {
		a.level++
		a.own--
	}
}

// AdmittedCounts gives what this instance let in since its start.
func (l *Ledger) AdmittedCounts() Counts {
	counts := make(Counts, len(l.accounts))
	for name, a := range l.accounts {
		if a.own != 0 {
			counts[name] = a.own
		}
	}
	return counts
}

func (l *Ledger) account(now time.Time, org string) *account {
	a := l.accounts[org]
	if a == nil {
		parts := l.parts(now)
		a = &account{
			settled: parts.settled, filledAt: now, share: parts.own, level: l.cap(l.limits[org], parts.own),
			pacer: pacer{at: now, part: 1 / parts.heard, tokens: leastTurn},
		}
		l.accounts[org] = a
	}
	return a
}
