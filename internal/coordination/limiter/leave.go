package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol"
)

// Leave gives up all slots, for a graceful shutdown: call it once no request
// comes in any more, and close the session after it. The services must still
// run. Tokens go to the mates that will hold the slots; a slot is released in
// the log, so that anybody may claim it at once.
func (l *Limiter) Leave(ctx context.Context) {
	for mate, args := range l.giveUpAll(time.Now()) {
		l.handOver(ctx, mate, args)
	}
	l.mu.Lock()
	keys := l.core.GivenUp()
	l.mu.Unlock()
	// At once, so that the releases share a frame of the log.
	var wait sync.WaitGroup
	for _, key := range keys {
		wait.Go(func() { l.submitRelease(ctx, key) })
	}
	wait.Wait()
}

// giveUpAll stops the use of all slots and returns what to tell each mate.
func (l *Limiter) giveUpAll(now time.Time) map[protocol.InstanceID]*HandoverArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.authorise(now)
	messages := map[protocol.InstanceID]*HandoverArgs{}
	mates, plan := l.claims.Leave()
	for _, mate := range mates {
		messages[mate] = &HandoverArgs{Leaving: l.session, Plan: plan}
	}
	for _, key := range l.core.HeldKeys() {
		balances, first := l.core.CloseSlot(now, key)
		if args := messages[plan[key.Slot]]; first && args != nil {
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
