package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"merlintiller/internal/protocol"
	"merlintiller/internal/wait"
)

const (
	// slotInterval is how often the slots are looked at besides every change.
	slotInterval = 500 * time.Millisecond
	// changeDebounce bounds how often changes make the slots be looked at.
	changeDebounce = 200 * time.Millisecond
	// submitTimeout bounds the wait for the fate of a claim. Its fate is seen
	// in the replayed state anyway.
	submitTimeout = 5 * time.Second
	// promiseRefresh is the part of a promise's life after which it is asked
	// for anew.
	promiseRefresh = 4
)

// slotService follows what is agreed: configuration, holders, own slots.
type slotService struct{ limiter *Limiter }

// String names the service for the supervisor.
func (s *slotService) String() string { return "limiter-slots" }

// Serve implements suture.Service.
func (s *slotService) Serve(ctx context.Context) error {
	for {
		changed := s.limiter.Journal.Changed()
		s.limiter.look(time.Now())
		if !wait.For(ctx, changeDebounce) {
			return ctx.Err()
		}
		timer := time.NewTimer(slotInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// look brings the core to what replay says now.
func (l *Limiter) look(now time.Time) {
	session := l.Journal.Session()
	mayHold := l.Journal.MayHold()
	view := l.agreed.view(l.Journal.Fleet())
	// Read after the view: whoever holds a slot follows at least the
	// configuration that precedes its claim, which settling relies on.
	fleet := l.Journal.Fleet()

	l.mu.Lock()
	defer l.mu.Unlock()
	l.authorise(now)
	l.core.Configure(now, fleet, l.agreed.direct(l.core.Version(), fleet.Version))
	l.core.SetHolders(view.holders())
	l.followSlots(now, session, view)
	l.followRenewal(now, session, mayHold, view)
	l.core.Tidy(now)
	if l.leaving {
		return
	}
	for _, key := range l.core.GivenUp() {
		l.offer(ClaimAction{Key: key, Release: true})
	}
	for _, action := range l.claims.Step(now, session, view) {
		l.offer(action)
	}
}

// offer queues an action unless one for the slot waits already. The caller
// holds the lock.
func (l *Limiter) offer(action ClaimAction) {
	if !l.pending[action.Key] {
		l.pending[action.Key] = l.actions.Offer(action)
	}
}

// followRenewal brings the extension to what replay says of the own session.
func (l *Limiter) followRenewal(now time.Time, session protocol.SessionID, mayHold bool, view View) {
	renewed := view.renewed(session)
	if renewed != l.extension.settled {
		l.renewedAt = now
	}
	if mayHold {
		l.extension.renewed(now, session)
	}
	if renewed != protocol.NoOffset {
		l.extension.seen(view.mates(l.Domain), renewed, view.readBack(session))
	}
}

// followSlots takes up the slots that replay gives to the own session, and
// drops all others.
func (l *Limiter) followSlots(now time.Time, session protocol.SessionID, view View) {
	if session != l.session {
		l.core.DropAll()
		l.session = session
	}
	for key, h := range view.Holdings {
		if session != 0 && h.Session == session && !h.Ended {
			l.core.AddSlot(now, key, h.Fence)
		} else {
			l.core.RemoveSlot(key)
		}
	}
	l.core.Keep(func(key SlotKey) bool {
		h, ok := view.Holdings[key]
		return ok && h.Session == session && !h.Ended
	})
}

// claimService submits claims and releases, one at a time.
type claimService struct{ limiter *Limiter }

// String names the service for the supervisor.
func (s *claimService) String() string { return "limiter-claims" }

// Serve implements suture.Service.
func (s *claimService) Serve(ctx context.Context) error {
	for {
		action, err := s.limiter.actions.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		s.limiter.act(ctx, action)
	}
}

func (l *Limiter) act(ctx context.Context, action ClaimAction) {
	defer l.acted(action.Key)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	switch {
	case action.Release:
		l.release(ctx, action.Key)
	case action.AskGone != "":
		l.askGone(ctx, action)
	default:
		l.submit(ctx, protocol.Record{LeaseClaim: &protocol.LeaseClaim{
			Resource: action.Key.Resource(),
			Replaces: action.Replaces,
		}})
	}
}

func (l *Limiter) acted(key SlotKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, key)
}

func (l *Limiter) submit(ctx context.Context, rec protocol.Record) {
	if !l.Journal.LogUp() {
		return
	}
	outcome := l.Journal.Submit(ctx, rec)
	if !outcome.Accepted() {
		_ = level.Debug(l.Logger).Log("event", "slot_record_not_accepted", "kind", rec.Kind(),
			"verdict", outcome.Verdict, "run", outcome.Run, "err", outcome.Err)
	}
}

// release gives a slot up and hands its tokens over. The core stops using it
// before the record is sent: whoever reads the record may claim at once.
func (l *Limiter) release(ctx context.Context, key SlotKey) {
	l.mu.Lock()
	now := time.Now()
	l.authorise(now)
	balances, first := l.core.CloseSlot(now, key)
	successor := l.claims.Successor(key)
	l.mu.Unlock()
	if first && successor != "" {
		l.handOver(ctx, successor, &HandoverArgs{Slots: []SlotBalances{balances}})
	}
	l.submitRelease(ctx, key)
}

func (l *Limiter) submitRelease(ctx context.Context, key SlotKey) {
	l.submit(ctx, protocol.Record{LeaseRelease: &protocol.LeaseRelease{Resource: key.Resource()}})
}

func (l *Limiter) askGone(ctx context.Context, action ClaimAction) {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	var reply GoneReply
	args := &GoneArgs{Session: action.Session}
	err := l.Peers.Call(ctx, action.AskGone, ReceiverName+".Gone", args, &reply)
	if err != nil || !reply.Gone || reply.Address != action.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims.Gone(action.Session)
}

// promiseService asks the mates for promises while the session can't be
// renewed.
type promiseService struct{ limiter *Limiter }

// String names the service for the supervisor.
func (s *promiseService) String() string { return "limiter-promises" }

// Serve implements suture.Service.
func (s *promiseService) Serve(ctx context.Context) error {
	for wait.For(ctx, slotInterval) {
		s.limiter.askPromises(ctx)
	}
	return ctx.Err()
}

func (l *Limiter) askPromises(ctx context.Context) {
	session := l.Journal.Session()
	if session == 0 || (l.Journal.LogUp() && !l.renewalLate(time.Now())) {
		return
	}
	// At once: a mate that does not answer must not use up the time in which
	// the others could.
	var wait sync.WaitGroup
	for _, m := range l.promisesWanted(time.Now()) {
		wait.Go(func() { l.askPromise(ctx, session, m) })
	}
	wait.Wait()
}

// renewalLate reports whether the own session was not renewed for a while.
func (l *Limiter) renewalLate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.renewedAt) > l.Settings.MaxRenewalAge
}

// promisesWanted are the mates whose promise ends soon.
func (l *Limiter) promisesWanted(now time.Time) []mate {
	l.mu.Lock()
	defer l.mu.Unlock()
	soon := now.Add(l.Settings.Promise - l.Settings.Promise/promiseRefresh)
	var wanted []mate
	for m := range l.extension.electorate {
		if l.extension.promised[m].Before(soon) {
			wanted = append(wanted, m)
		}
	}
	return wanted
}

func (l *Limiter) askPromise(ctx context.Context, session protocol.SessionID, from mate) {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	sent := time.Now()
	var reply PromiseReply
	err := l.Peers.Call(ctx, from.instance, ReceiverName+".Promise", &PromiseArgs{Session: session}, &reply)
	if err != nil || !reply.Given || reply.Address != from.address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extension.session == session {
		l.extension.promise(time.Now(), from, sent, l.Journal.MayHold())
	}
}

// fetchService takes tokens ahead of need.
type fetchService struct{ limiter *Limiter }

// String names the service for the supervisor.
func (s *fetchService) String() string { return "limiter-fetch" }

// Serve implements suture.Service.
func (s *fetchService) Serve(ctx context.Context) error {
	for {
		ask, err := s.limiter.ahead.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		s.limiter.exchange(ctx, ask)
	}
}
