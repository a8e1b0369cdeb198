package quota

import "time"

// shares describes how the rates are currently divided among the instances. It is the same
// for all organisations.
type shares struct {
	// own is the share of the bursts that this instance may use: all but the shares of
	// silent instances, if those are more than may be presumed dead. While the levels are
	// not known, it is this instance's share alone.
	own float64
	// silentSince is the earliest time of the last report among the instances that are
	// suspected or known to be silent.
	silentSince time.Time
	// creditedTime is the time for which the rates may be used here, as a mean over all
	// instances. The time of this instance counts until now. The time of another instance
	// counts until its last report, since what it has admitted after that is not known yet.
	//
	// Otherwise a network partition, while an organisation sends more than its rate, would
	// let each instance use the whole rate until it notices. A fleet that notices after a
	// second would admit several seconds' worth of the rate too much.
	creditedTime time.Duration
	// reachable is the number of reachable instances, this one included. reachableShare is
	// their share of the rates together. fresh reports that their reports are recent, see
	// freshShare.
	reachable, reachableShare float64
	fresh                     bool
	// instances is the number of instances that may admit requests, heard the number of
	// those that report, this one included. reportsAge is the mean age of their reports.
	instances, heard float64
	reportsAge       time.Duration
	// doubtful reports that the levels are too high by an unknown amount, see startup.doubtful.
	doubtful bool
}

func (bs *Buckets) shares(now time.Time) shares {
	size, reachable, suspected := 1.0, 1.0, 0.0
	credited, silentSince := now.Sub(bs.startedAt), now
	var silentFor, ages, silenceTimeout time.Duration
	for _, p := range bs.peers {
		if p.down {
			continue
		}
		size++
		at, silence := p.lastSeenOrKnown(), bs.silence(now, p)
		credited += at.Sub(bs.startedAt)
		if q := p.suspicion(silence); q > 0 {
			suspected += q
			silentSince = earlier(silentSince, at)
		}
		if p.silent(silence) {
			silentFor += now.Sub(at)
			continue
		}
		reachable++
		ages += silence
		silenceTimeout = max(silenceTimeout, p.silenceTimeout)
	}
	reportsAge := time.Duration(float64(ages) / max(1, reachable-1))
	if !bs.resolveLevels(now) {
		return shares{
			own: 1 / size, creditedTime: time.Duration(float64(now.Sub(bs.startedAt)) / size), reachable: 1, reachableShare: 1 / size, fresh: true,
			instances: size, heard: reachable, reportsAge: reportsAge,
		}
	}
	out := shares{
		own: 1, reachable: reachable, reachableShare: reachable / size, silentSince: silentSince,
		instances: size, heard: reachable, reportsAge: reportsAge, doubtful: bs.Doubtful(now),
	}
	out.fresh = float64(ages) <= freshShare*float64(silenceTimeout)*(reachable-1)
	if suspected/size > presumedDeadShare {
		out.own = 1 - suspected/size
	}
	if out.reachableShare >= 1-presumedDeadShare {
		// The silent instances are presumed dead, and the others use their shares.
		credited += silentFor
		out.reachableShare = 1
	}
	out.creditedTime = time.Duration(float64(credited) / size)
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// silence returns the time since an instance was last heard of, without the time for which
// this process did not run.
func (bs *Buckets) silence(now time.Time, p *peer) time.Duration {
	stalled := bs.clock.StalledUntil(now) - p.stalledUntilSeen
	return max(0, now.Sub(p.lastSeenOrKnown())-stalled)
}

func (p *peer) silent(silence time.Duration) bool {
	return !p.down && (p.lastSeen.IsZero() || silence > p.silenceTimeout)
}

// lastSeenOrKnown returns the time of the last report, or the time at which the instance
// became known if it has not reported yet.
func (p *peer) lastSeenOrKnown() time.Time {
	if p.lastSeen.IsZero() {
		return p.knownSince
	}
	return p.lastSeen
}

// trustedShare is the share of the silence timeout for which an instance that does not
// report is not suspected to be silent. After that its share of the bursts is gradually
// reserved for it, so that a burst is not used on both sides of a network partition before
// the partition is noticed.
const trustedShare = 0.5

// suspicion returns the degree to which an instance counts as silent, from 0 to 1.
func (p *peer) suspicion(silence time.Duration) float64 {
	if p.lastSeen.IsZero() {
		return 1
	}
	trusted := trustedShare * float64(p.silenceTimeout)
	beyond := float64(silence) - trusted
	return min(1, max(0, beyond/max(1, float64(p.silenceTimeout)-trusted)))
}

// refill adds the tokens for the time credited since the last refill.
func (bs *Buckets) refill(now time.Time, org string, s shares) {
	b, limit := bs.buckets[org], bs.limits[org]
	b.history.add(now, b.level)
	bs.updateReserve(b, s)
	gained := max(0, s.creditedTime-b.creditedTime)
	b.creditedTime += gained
	b.refilledAt = now
	b.level = min(b.level+limit.Rate*gained.Seconds(), bs.capacity(limit, b.share))
	bs.chargeUnknownDebt(now, b, limit)
}

// updateReserve reserves shares of a bucket's level, or of its debt, for instances that are
// silent, and takes them back when these are reachable again, because what they used is
// then part of their counts. A silent instance knows only the debt of the time when it was
// last seen, so only that much debt is left to it.
func (bs *Buckets) updateReserve(b *bucket, s shares) {
	share := s.own
	switch {
	case share < b.share:
		if knownDebt := b.history.at(s.silentSince) * (1 - share); knownDebt < b.reservedDebt {
			b.level += b.reservedDebt - knownDebt
			b.reservedDebt = knownDebt
		}
		if kept := b.level * share / b.share; kept < b.level {
			b.reserved += b.level - kept
			b.level = kept
		}
	case share > b.share:
		remaining := (1 - share) / (1 - b.share)
		b.level += (b.reserved + b.reservedDebt) * (1 - remaining)
		b.reserved, b.reservedDebt = b.reserved*remaining, b.reservedDebt*remaining
	}
	b.share = share
}

func (bs *Buckets) refillAll(now time.Time) {
	if len(bs.buckets) == 0 {
		return
	}
	s := bs.shares(now)
	for org := range bs.buckets {
		bs.refill(now, org, s)
	}
}

// changePeers applies a change of the set of instances. The time before the change is
// credited by the previous set.
func (bs *Buckets) changePeers(now time.Time, change func()) {
	bs.refillAll(now)
	change()
	credited := bs.shares(now).creditedTime
	for _, b := range bs.buckets {
		b.creditedTime = credited
	}
}

// capacity returns the maximum level of a bucket: the burst without the shares of silent
// instances.
func (bs *Buckets) capacity(limit Limit, share float64) float64 {
	return max(minCapacity, limit.Burst*share)
}
