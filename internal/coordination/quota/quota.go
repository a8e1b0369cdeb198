// Package quota holds organisations to their rates over all instances together.
//
// Each instance keeps a token bucket for each organisation that stands for the
// whole fleet: it fills at the organisation's rate, loses a token for each
// request that this instance lets in, and loses what other instances let in as
// soon as they tell. So a rate is used wherever its callers are, without a
// message for each request; what is let in between two messages is a debt that
// the next refusals pay.
//
// An instance that has not been heard may let requests in all the same, cut off
// with callers of its own. Its part of the rate and burst is left to it while it
// is silent. Both sides of a cut do so, and the parts add up to the whole.
package quota

import (
	"math"
	"time"
)

// leastCap is the smallest burst that an instance keeps to itself when the
// others are silent. Below one token it could let nothing in at all.
const leastCap = 1

// Limit is what an organisation may ask of the whole fleet. A rate of 0 is no
// limit.
type Limit struct {
	// Rate is in requests a second, Burst in requests on top.
	Rate, Burst float64
}

// Counts are requests let in since an instance started, by organisation, less
// those that were given back.
type Counts map[string]int64

// Ledger keeps the buckets. It is pure and not safe for concurrent use.
type Ledger struct {
	// silentAfter is the silence after which an instance's part is left to it.
	silentAfter time.Duration
	limits      map[string]Limit
	accounts    map[string]*account
	peers       map[string]*peer
}

type account struct {
	level float64
	at    time.Time
	own   int64
	// share is the part of the fleet that is not silent, as of at.
	share float64
}

type peer struct {
	start  int64
	heard  time.Time
	counts Counts
	// left is what was left to the peer while it was silent, by organisation.
	left map[string]float64
}

// New returns a ledger that knows no limit.
func New(silentAfter time.Duration) *Ledger {
	return &Ledger{
		silentAfter: silentAfter,
		limits:      map[string]Limit{},
		accounts:    map[string]*account{},
		peers:       map[string]*peer{},
	}
}

// SetLimits takes over the limits of all organisations. Buckets keep their
// level, cut to a smaller burst.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range l.accounts {
		l.refill(now, name)
	}
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

// Heard takes over what another instance says it let in since its start. The
// start tells two lives of one instance apart.
func (l *Ledger) Heard(now time.Time, name string, start int64, counts Counts) {
	for org := range l.accounts {
		l.refill(now, org)
	}
	p, known := l.peers[name]
	if !known || p.start != start {
		p = &peer{start: start, counts: Counts{}, left: map[string]float64{}}
		l.peers[name] = p
	}
	p.heard = now
	for org, left := range p.left {
		if a := l.accounts[org]; a != nil {
			a.level += left
		}
	}
	clear(p.left)
	for org, count := range counts {
		l.account(now, org).level -= float64(count - p.counts[org])
		p.counts[org] = count
	}
}

// Expect makes an instance known that was not heard yet.
func (l *Ledger) Expect(name string) {
	if l.peers[name] == nil {
		l.peers[name] = &peer{counts: Counts{}, left: map[string]float64{}}
	}
}

// Gone forgets an instance that can let nothing in any more.
func (l *Ledger) Gone(name string) { delete(l.peers, name) }

// Admit lets a request in, or says how long it takes until one more may come.
func (l *Ledger) Admit(now time.Time, org string) (ok bool, wait time.Duration) {
	limit, known := l.limits[org]
	if !known || limit.Rate <= 0 {
		return true, 0
	}
	a := l.account(now, org)
	l.refill(now, org)
	if a.level >= 1 {
		a.level--
		a.own++
		return true, 0
	}
	rate := limit.Rate * max(a.share, 1/float64(1+len(l.peers)))
	return false, time.Duration((1 - a.level) / rate * float64(time.Second))
}

// GiveBack returns the token of a request that did not run.
func (l *Ledger) GiveBack(org string) {
	if a := l.accounts[org]; a != nil {
		a.level++
		a.own--
	}
}

// Own gives what this instance let in since its start.
func (l *Ledger) Own() Counts {
	counts := make(Counts, len(l.accounts))
	for name, a := range l.accounts {
		if a.own != 0 {
			counts[name] = a.own
		}
	}
	return counts
}

// Level gives the tokens of an organisation's bucket, for reports.
func (l *Ledger) Level(now time.Time, org string) float64 {
	a := l.account(now, org)
	l.refill(now, org)
	return a.level
}

func (l *Ledger) account(now time.Time, org string) *account {
	a := l.accounts[org]
	if a == nil {
		share := l.share(now)
		a = &account{at: now, share: share, level: l.cap(l.limits[org], share)}
		l.accounts[org] = a
	}
	return a
}

// refill adds the tokens of the time since the last look and notes what is left
// to silent instances.
func (l *Ledger) refill(now time.Time, org string) {
	a := l.accounts[org]
	limit := l.limits[org]
	seconds := max(0, now.Sub(a.at).Seconds())
	a.at = now
	a.share = l.share(now)
	whole := limit.Rate * seconds
	a.level += whole * a.share
	a.level = min(a.level, l.cap(limit, a.share))
	part := whole / float64(1+len(l.peers))
	for _, p := range l.peers {
		if l.silent(now, p) {
			p.left[org] = min(p.left[org]+part, limit.Burst)
		}
	}
}

// cap is the most tokens that a bucket holds: the burst, less the parts of
// silent instances.
func (l *Ledger) cap(limit Limit, share float64) float64 {
	return max(leastCap, limit.Burst*share)
}

// share is the part of the fleet that is not silent.
func (l *Ledger) share(now time.Time) float64 {
	silent := 0
	for _, p := range l.peers {
		if l.silent(now, p) {
			silent++
		}
	}
	return 1 - float64(silent)/float64(1+len(l.peers))
}

func (l *Ledger) silent(now time.Time, p *peer) bool {
	return p.heard.IsZero() || now.Sub(p.heard) > l.silentAfter
}

// Lowest bounds a level from below, so that a debt is paid within a while.
//
// What goes wrong without it: a limit is lowered under load, or counts of a
// long cut arrive at once. The debt would refuse an organisation for minutes.
func (l *Ledger) Lowest(seconds float64) {
	for org, a := range l.accounts {
		a.level = math.Max(a.level, -l.limits[org].Rate*seconds)
	}
}
