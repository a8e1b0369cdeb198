package routed

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// isolationStoreAge is the time without a response of the store after which an
	// instance counts as isolated, if it also receives no heartbeat from another failure
	// domain. The store normally responds several times a second.
	isolationStoreAge = 700 * time.Millisecond
	// balancerReaction is the time that the load balancer needs to send new connections
	// to other failure domains: it polls readiness once a second and requires two
	// failures.
	balancerReaction = 2200 * time.Millisecond
	// maxUnready is the longest time for which isolation makes an instance unready. An
	// instance can't tell a network partition from the loss of the store and of all other
	// failure domains. If the loss lasts, callers can't reach any other instance.
	maxUnready = 10 * time.Second
	// minRetryAfter is the shortest delay after which callers are told to retry a job.
	minRetryAfter = 300 * time.Millisecond
)

// isolationDetector detects that this instance is isolated: it reaches neither the
// store nor another failure domain.
//
// A failure domain may be isolated for seconds while callers still reach it. Its
// instances can serve online requests at the targets of the domain, but can't store
// jobs: each submitted job would be lost. So they report not ready during the
// isolation. Once all of them do, the balancer sends new connections to other failure
// domains, which accept the rejected jobs.
type isolationDetector struct {
	// otherDomainsUnreachable reports whether no other failure domain is reachable.
	// storeAge returns the time since the last response of the store.
	otherDomainsUnreachable func() bool
	storeAge                func() time.Duration
	// hasBatchRoutes reports whether there are routes for batch jobs. Without such
	// routes an isolated instance can do all of its work, and stays ready.
	hasBatchRoutes func() bool
	logger         log.Logger

	mu            sync.Mutex
	isolatedSince time.Time
}

// check updates the state and returns the time at which the isolation began, or zero
// if the instance is not isolated.
func (d *isolationDetector) check(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	isolated := d.storeAge() > isolationStoreAge && d.otherDomainsUnreachable() && d.hasBatchRoutes()
	switch {
	case isolated && d.isolatedSince.IsZero():
		d.isolatedSince = now
		_ = level.Info(d.logger).Log("event", "isolated", "store_age_ms", d.storeAge().Milliseconds())
	case !isolated && !d.isolatedSince.IsZero():
		_ = level.Info(d.logger).Log("event", "isolation_ended", "took_ms", now.Sub(d.isolatedSince).Milliseconds())
		d.isolatedSince = time.Time{}
	}
	return d.isolatedSince
}

// ready reports whether the balancer may send callers to this instance.
func (d *isolationDetector) ready() bool {
	now := time.Now()
	since := d.check(now)
	return since.IsZero() || now.Sub(since) >= maxUnready
}

// jobRetryAfter reports whether this instance can't store jobs now, and after which
// delay a caller may retry.
func (d *isolationDetector) jobRetryAfter() (time.Duration, bool) {
	now := time.Now()
	since := d.check(now)
	if since.IsZero() {
		return 0, false
	}
	return max(minRetryAfter, since.Add(balancerReaction).Sub(now)), true
}
