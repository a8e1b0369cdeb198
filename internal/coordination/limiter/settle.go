package limiter

import (
	"context"
	"time"

	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

// settleInterval is how often the holders are asked while a change of rates has
// not settled.
const settleInterval = time.Second

// settleService finds out when every holder of a slot follows a change of
// rates, so that the parts which grow by it may grow.
type settleService struct{ limiter *Limiter }

// String names the service for the supervisor.
func (s *settleService) String() string { return "limiter-settle" }

// Serve implements suture.Service.
func (s *settleService) Serve(ctx context.Context) error {
	for wait.For(ctx, settleInterval) {
		s.limiter.settle(ctx)
	}
	return ctx.Err()
}

// settle asks every holder, also those whose session expired: they may go on by
// promises. A slot claimed after the view was read has a holder that read the
// stream further than the view, and so follows the change.
func (l *Limiter) settle(ctx context.Context) {
	if !l.unsettled() {
		return
	}
	view := l.agreed.view(l.Journal.Fleet())
	l.mu.Lock()
	lowest := l.core.Version()
	l.mu.Unlock()
	asked := map[protocol.InstanceID]bool{l.Self: true}
	for _, h := range view.Holdings {
		if asked[h.Instance] {
			continue
		}
		asked[h.Instance] = true
		version, ok := l.askVersion(ctx, h.Instance)
		if !ok {
			return
		}
		lowest = min(lowest, version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Settle(time.Now(), lowest)
}

func (l *Limiter) unsettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Unsettled()
}

func (l *Limiter) askVersion(ctx context.Context, holder protocol.InstanceID) (protocol.Offset, bool) {
	if holder == "" {
		return protocol.NoOffset, false
	}
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	var reply VersionReply
	err := l.Peers.Call(ctx, holder, ReceiverName+".Version", &VersionArgs{}, &reply)
	return reply.Version, err == nil
}
