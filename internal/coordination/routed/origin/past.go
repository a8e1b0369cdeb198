package origin

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
)

// awaitPast waits until the past versions are read from the store, if this instance needs them. It
// returns true if they are known now and were not before.
//
// They are read at once when a stream is taken up whose record no instance has: others know them as
// a rule, unless all instances have just started.
func (r *Registry) awaitPast(ctx context.Context) bool {
	read := r.startPastRead()
	if read == nil {
		return false
	}
	timer := time.NewTimer(pastWait)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.pastKnown
}

// startPastRead starts a read of the past versions, unless one is running. It returns a channel that is
// closed when the read ends, nil if the past is not needed or was asked for a moment ago.
func (r *Registry) startPastRead() <-chan struct{} {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pastRead != nil {
		return r.pastRead
	}
	if r.opts.Past == nil || !r.history.needsPast(now.Add(-streamLifetime)) || now.Sub(r.pastReadAt) < pastRetryInterval {
		return nil
	}
	r.pastRead, r.pastReadAt = make(chan struct{}), now
	go r.readPast(r.pastRead)
	return r.pastRead
}

// readPastInTime reads the past versions before this instance concludes from its own list that a service has one
// version: they may include one in a failure domain that has been out of reach since before the start. Instances
// that start together read at different times.
func (r *Registry) readPastInTime(now time.Time) {
	delay := pastReadDelay + time.Duration(xxhash.Sum64String(r.opts.Self.Name)%uint64(pastReadSpread))
	r.mu.Lock()
	due := now.Sub(r.history.since) > delay && now.Sub(r.pastReadAt) > pastReadInterval
	r.mu.Unlock()
	if due {
		r.startPastRead()
	}
}

// readPast reads the past versions and closes done.
func (r *Registry) readPast(done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), pastTimeout)
	defer cancel()
	start := time.Now()
	past, err := r.opts.Past(ctx)
	_ = level.Info(r.opts.Logger).Log("event", "past_versions_read", "versions", past.String(), "took_ms", time.Since(start).Milliseconds(), "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pastRead = nil
	if err == nil {
		r.history.setPast(past)
	}
}

// RecentVersions returns the versions at which streams may have begun that can still be taken up.
func (r *Registry) RecentVersions() VersionSet {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.allVersions(now.Add(-streamLifetime))
}

// checkDomains records which failure domains are in reach: those of the instances that are up.
func (r *Registry) checkDomains(now time.Time) {
	reached := map[string]bool{r.opts.Self.Domain: true}
	for _, instance := range r.opts.Peers.AllUp() {
		reached[instance.Domain] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.setReached(now, reached)
}
