package routed

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// isolatedAfter is how long the store must not have answered for an instance that
	// hears no other failure domain to be cut off. The store answers several times a
	// second.
	isolatedAfter = 700 * time.Millisecond
	// balancerNotice is the time after which the balancer sends new connections of
	// this failure domain elsewhere: it asks once a second and wants two misses.
	balancerNotice = 2200 * time.Millisecond
	// unreadyMost is how long a cut keeps an instance from being ready. It can't tell a
	// cut from the loss of the store and of all other failure domains; if that lasts,
	// its callers have nobody else.
	unreadyMost = 10 * time.Second
	// leastRetry is told for what can be tried again at once.
	leastRetry = 300 * time.Millisecond
)

// isolation notices that this instance is cut off: neither the store nor another
// failure domain is heard.
//
// The load it answers: a failure domain is cut off for seconds, and callers still
// reach it. It serves online requests by its own targets, but can keep no job: each
// one that comes would be lost. So its instances are not ready meanwhile. The
// balancer sends new connections to other failure domains once all of them say so,
// and jobs that were refused are taken there.
type isolation struct {
	// cutOff says that no other failure domain is heard, storeAge gives the time
	// since the store answered.
	cutOff   func() bool
	storeAge func() time.Duration
	// takesJobs says that there are routes for batch jobs. Without them the instance
	// can do all that it is for, and stays ready.
	takesJobs func() bool
	logger    log.Logger

	mu    sync.Mutex
	since time.Time
}

// look says since when the instance is cut off, zero if it is not.
func (i *isolation) look(now time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	is := i.storeAge() > isolatedAfter && i.cutOff() && i.takesJobs()
	switch {
	case is && i.since.IsZero():
		i.since = now
		_ = level.Info(i.logger).Log("event", "isolated", "store_age_ms", i.storeAge().Milliseconds())
	case !is && !i.since.IsZero():
		_ = level.Info(i.logger).Log("event", "isolation_ended", "took_ms", now.Sub(i.since).Milliseconds())
		i.since = time.Time{}
	}
	return i.since
}

// ready says whether the balancer may send callers here.
func (i *isolation) ready() bool {
	now := time.Now()
	since := i.look(now)
	return since.IsZero() || now.Sub(since) >= unreadyMost
}

// jobRetry says whether no job can be kept now, and when its caller may come back.
func (i *isolation) jobRetry() (time.Duration, bool) {
	now := time.Now()
	since := i.look(now)
	if since.IsZero() {
		return 0, false
	}
	return max(leastRetry, since.Add(balancerNotice).Sub(now)), true
}
