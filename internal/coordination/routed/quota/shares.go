package quota

import "time"

// refill adds the tokens of the time since the last look and notes what is left
// to silent instances.
func (l *Ledger) refill(now time.Time, org string, parts parts) {
	l.payForSilence(parts)
	a := l.accounts[org]
	limit := l.limits[org]
	seconds := max(0, now.Sub(a.at).Seconds())
	a.at = now
	a.share = parts.own
	whole := limit.Rate * seconds
	filled := a.level + whole*a.share
	a.level = min(filled, l.cap(limit, a.share))
	a.spilled += filled - a.level
	a.spills.note(now, a.spilled)
	for _, p := range parts.left {
		l.leave(p, org, whole/parts.size)
	}
}

// payForSilence leaves to peers that are newly silent what they may have let in since
// they were heard last.
//
// What goes wrong without it: instances are cut off from each other while an
// organisation sends more than its rate. Until they notice, each side uses the whole
// rate. Nine instances on their own let in eighty requests too many in that half
// second, three sides a rate's half second each. What was not used is not paid for. What
// found the bucket full is left to the peer without that: it was used by nobody here, and
// what the peer let in by it would be a debt of this side once the peer is heard again.
func (l *Ledger) payForSilence(parts parts) {
	for _, p := range parts.left {
		if p.paid {
			continue
		}
		p.paid = true
		if p.heard.IsZero() {
			continue
		}
		for org, a := range l.accounts {
			unnoticed := max(0, a.at.Sub(p.heard).Seconds())
			part := min(l.limits[org].Rate*unnoticed, a.owns.mostSince(p.heard, float64(a.own))) / parts.size
			l.leave(p, org, part+a.spills.leastSince(p.heard, a.spilled)/parts.size)
			a.level -= part
		}
	}
}

// leave notes what is left to a silent peer, its burst at most.
func (l *Ledger) leave(p *peer, org string, tokens float64) {
	p.left[org] = min(p.left[org]+tokens, l.limits[org].Burst)
}

// cap is the most tokens that a bucket holds: the burst, less the parts of
// silent instances.
func (l *Ledger) cap(limit Limit, share float64) float64 {
	return max(leastCap, limit.Burst*share)
}

// parts says how the rates are divided among the instances now. It is the same for
// all organisations, and made from all instances, so it is kept and not made anew for
// each organisation with each message.
type parts struct {
	// size is the number of instances that may let requests in.
	size float64
	// own is the part of the fleet that may be used here: all but the silent ones,
	// if they are more than may be dead, and the own part alone while the buckets
	// are not known.
	own float64
	// left are the silent instances whose parts are left to them.
	left []*peer
}

func (l *Ledger) parts(now time.Time) parts {
	p := parts{size: 1, own: 1}
	var silent []*peer
	for _, other := range l.peers {
		if !other.gone {
			p.size++
		}
		if l.silent(now, other) {
			silent = append(silent, other)
		}
	}
	quiet := float64(len(silent)) / p.size
	switch {
	case !l.knows(now):
		p.own = 1 / p.size
	case quiet > likelyDead:
		p.own = 1 - quiet
	}
	if p.own < 1 {
		p.left = silent
	}
	return p
}

func (l *Ledger) silent(now time.Time, p *peer) bool {
	return !p.gone && (p.heard.IsZero() || now.Sub(p.heard) > p.patience)
}
