package limiter

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

// rolloutCheckInterval is the time between two queries to the holders during a
// rollout.
const rolloutCheckInterval = time.Second

// rolloutService finds out when every holder of a slot has applied a
// configuration change, so that the quotas that grow can be raised.
type rolloutService struct{ limiter *Limiter }

// String returns the name that the supervisor logs.
func (s *rolloutService) String() string { return "limiter-settle" }

// Serve implements suture.Service.
func (s *rolloutService) Serve(ctx context.Context) error {
	for wait.For(ctx, rolloutCheckInterval) {
		s.limiter.checkRollout(ctx)
	}
	return ctx.Err()
}

// checkRollout asks every holder for its configuration version, including
// holders whose session has expired, because they may continue on promises. A
// slot that is claimed after the view was read needs no query: its holder has
// read the log further than the view, and so has applied the change.
func (l *Limiter) checkRollout(ctx context.Context) {
	if !l.rolloutPending() {
		return
	}
	view := l.state.view(l.Journal.Fleet())
	lowest := l.configVersion()
	asked := map[protocol.InstanceID]bool{l.Self: true}
	for _, lease := range view.Leases {
		if asked[lease.Instance] {
			continue
		}
		asked[lease.Instance] = true
		version, ok := l.fetchVersion(ctx, lease.Instance)
		if !ok {
			return
		}
		lowest = min(lowest, version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ConfirmVersion(time.Now(), lowest)
}

func (l *Limiter) rolloutPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.RolloutPending()
}

func (l *Limiter) fetchVersion(ctx context.Context, holder protocol.InstanceID) (protocol.Offset, bool) {
	if holder == "" {
		return protocol.NoOffset, false
	}
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	var reply VersionReply
	err := l.Peers.Call(ctx, holder, ReceiverName+".Version", &VersionArgs{}, &reply)
	return reply.Version, err == nil
}
