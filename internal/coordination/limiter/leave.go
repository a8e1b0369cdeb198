package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol"
)

// Leave gives up all slots during a graceful shutdown. Call it when no more
// requests arrive, and close the session afterwards. The services must still
// run. The tokens go to the peers that will hold the slots, and the leases are
// released in the log, so that any instance can claim the slots immediately.
func (l *Limiter) Leave(ctx context.Context) {
	for peer, args := range l.closeAllSlots(time.Now()) {
		l.handOver(ctx, peer, args)
	}
	l.mu.Lock()
	keys := l.core.ClosedSlots()
	l.mu.Unlock()
	// In parallel, so that the releases share one frame of the log.
	var wait sync.WaitGroup
	for _, key := range keys {
		wait.Go(func() { l.submitRelease(ctx, key) })
	}
	wait.Wait()
}

// closeAllSlots stops the use of all slots and returns the handover message for
// each peer.
func (l *Limiter) closeAllSlots(now time.Time) map[protocol.InstanceID]*HandoverArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.refreshUsableUntil(now)
	messages := map[protocol.InstanceID]*HandoverArgs{}
	peers, plan := l.claims.StartLeaving()
	for _, peer := range peers {
		messages[peer] = &HandoverArgs{Leaving: l.session, Plan: plan}
	}
	for _, key := range l.core.HeldSlots() {
		balances, open := l.core.CloseSlot(now, key)
		if args := messages[plan[key.Slot]]; open && args != nil {
			args.Slots = append(args.Slots, balances)
		}
	}
	return messages
}

func (l *Limiter) handOver(ctx context.Context, to protocol.InstanceID, args *HandoverArgs) {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	if err := l.Peers.Call(ctx, to, ReceiverName+".Handover", args, &HandoverReply{}); err != nil {
		_ = level.Info(l.Logger).Log("event", "tokens_not_handed_over", "slots", len(args.Slots), "to", to, "err", err)
	}
}
