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
	// reconcileInterval is how long reconcileService waits for a change in the
	// journal before it runs reconcile anyway. It is also the interval at which
	// promiseService checks whether promises are needed.
	reconcileInterval = 500 * time.Millisecond
	// changeDebounce is the shortest time between two runs of reconcile.
	changeDebounce = 200 * time.Millisecond
	// submitTimeout limits the wait for the outcome of a claim. The outcome is
	// also visible in the replayed state.
	submitTimeout = 5 * time.Second
	// promiseRefreshDivisor determines when a promise is requested again: once
	// 1/promiseRefreshDivisor of its duration has passed.
	promiseRefreshDivisor = 4
)

// reconcileService applies the replayed state to the core: the configuration,
// the holders and this instance's slots.
type reconcileService struct{ limiter *Limiter }

// String returns the name that the supervisor logs.
func (s *reconcileService) String() string { return "limiter-slots" }

// Serve implements suture.Service.
func (s *reconcileService) Serve(ctx context.Context) error {
	for {
		changed := s.limiter.Journal.Changed()
		s.limiter.reconcile()
		if !wait.For(ctx, changeDebounce) {
			return ctx.Err()
		}
		timer := time.NewTimer(reconcileInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcile applies the current replayed state to the core and queues the
// claims and releases that follow from it.
func (l *Limiter) reconcile() {
	l.reconciling.Lock()
	defer l.reconciling.Unlock()
	l.reconcileLocked()
}

// reconcileLocked is reconcile for a caller that holds l.reconciling.
func (l *Limiter) reconcileLocked() {
	session := l.Journal.Session()
	mayHold := l.Journal.MayHold()
	view := l.state.view(l.Journal.Fleet())
	// Read after the view, so that the configuration is not older than any
	// claim in the view: checkRollout relies on every holder having applied at
	// least the configuration that precedes its claim.
	fleet := l.Journal.Fleet()

	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.refreshUsableUntil(now)
	l.core.Configure(now, fleet, l.state.consecutive(l.core.Version(), fleet.Version))
	l.core.SetHolders(view.holders())
	l.updateSlots(now, session, view)
	l.updateExtension(now, session, mayHold, view)
	l.core.EvictIdle(now)
	if l.leaving {
		return
	}
	for _, key := range l.core.ClosedSlots() {
		l.enqueue(ClaimAction{Key: key, Release: true})
	}
	for _, action := range l.claims.NextActions(now, session, view) {
		l.enqueue(action)
	}
}

// enqueue queues an action unless an action for the same slot is already
// queued. The caller holds l.mu.
func (l *Limiter) enqueue(action ClaimAction) {
	if !l.pendingActions[action.Key] {
		l.pendingActions[action.Key] = l.actions.Offer(action)
	}
}

// updateExtension applies the replayed state of this instance's session to the
// extension.
func (l *Limiter) updateExtension(now time.Time, session protocol.SessionID, mayHold bool, view View) {
	renewed := view.latestRenewal(session)
	if renewed != l.extension.coveredRenewal {
		l.renewedAt = now
	}
	if mayHold {
		l.extension.reset(now, session)
	}
	if renewed != protocol.NoOffset {
		l.extension.addRequired(view.membersIn(l.Domain), renewed, view.lastReadBack(session))
	}
}

// updateSlots adds the slots that this instance's session holds in the replayed
// state, and removes all others.
func (l *Limiter) updateSlots(now time.Time, session protocol.SessionID, view View) {
	if session != l.session {
		l.core.RemoveAllSlots()
		l.session = session
	}
	for key, lease := range view.Leases {
		if session != 0 && lease.Session == session && !lease.Ended {
			l.core.AddSlot(now, key, lease.Fence)
		} else {
			l.core.RemoveSlot(key)
		}
	}
	l.core.RetainSlots(func(key SlotKey) bool {
		lease, ok := view.Leases[key]
		return ok && lease.Session == session && !lease.Ended
	})
}

// claimService submits claims and releases, one at a time.
type claimService struct{ limiter *Limiter }

// String returns the name that the supervisor logs.
func (s *claimService) String() string { return "limiter-claims" }

// Serve implements suture.Service.
func (s *claimService) Serve(ctx context.Context) error {
	for {
		action, err := s.limiter.actions.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		s.limiter.perform(ctx, action)
	}
}

func (l *Limiter) perform(ctx context.Context, action ClaimAction) {
	defer l.finishAction(action.Key)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	switch {
	case action.Release:
		l.release(ctx, action.Key)
	case action.ConfirmWith != "":
		l.confirmRelinquished(ctx, action)
	default:
		l.submit(ctx, protocol.Record{LeaseClaim: &protocol.LeaseClaim{
			Resource: action.Key.Resource(),
			Replaces: action.Replaces,
		}})
	}
}

func (l *Limiter) finishAction(key SlotKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingActions, key)
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

// release hands over a slot's tokens and releases its lease. The core stops
// using the slot before the record is submitted, because any instance that
// reads the record may claim the slot immediately.
func (l *Limiter) release(ctx context.Context, key SlotKey) {
	l.mu.Lock()
	now := time.Now()
	l.refreshUsableUntil(now)
	balances, open := l.core.CloseSlot(now, key)
	successor := l.claims.Successor(key)
	l.mu.Unlock()
	if open && successor != "" {
		l.handOver(ctx, successor, &HandoverArgs{Slots: []SlotBalances{balances}})
	}
	l.submitRelease(ctx, key)
}

func (l *Limiter) submitRelease(ctx context.Context, key SlotKey) {
	l.submit(ctx, protocol.Record{LeaseRelease: &protocol.LeaseRelease{Resource: key.Resource()}})
}

func (l *Limiter) confirmRelinquished(ctx context.Context, action ClaimAction) {
	ctx, cancel := context.WithTimeout(ctx, l.Settings.ExchangeTimeout)
	defer cancel()
	var reply GoneReply
	args := &GoneArgs{Session: action.Session}
	err := l.Peers.Call(ctx, action.ConfirmWith, ReceiverName+".Gone", args, &reply)
	if err != nil || !reply.Gone || reply.Address != action.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims.MarkRelinquished(action.Session)
}

// promiseService requests promises from peers while the session cannot be
// renewed.
type promiseService struct{ limiter *Limiter }

// String returns the name that the supervisor logs.
func (s *promiseService) String() string { return "limiter-promises" }

// Serve implements suture.Service.
func (s *promiseService) Serve(ctx context.Context) error {
	for wait.For(ctx, reconcileInterval) {
		s.limiter.requestPromises(ctx)
	}
	return ctx.Err()
}

func (l *Limiter) requestPromises(ctx context.Context) {
	session := l.Journal.Session()
	if session == 0 || (l.Journal.LogUp() && !l.renewalOverdue(time.Now())) {
		return
	}
	// The requests run in parallel, so that a peer that does not answer does
	// not use up the time for the others.
	var wait sync.WaitGroup
	for _, p := range l.expiringPromises(time.Now()) {
		wait.Go(func() { l.requestPromise(ctx, session, p) })
	}
	wait.Wait()
}

// renewalOverdue reports whether the latest renewal of this instance's session
// is older than MaxRenewalAge.
func (l *Limiter) renewalOverdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.renewedAt) > l.Settings.MaxRenewalAge
}

// expiringPromises returns the required peers that have given no promise or
// whose promise is due for a refresh.
func (l *Limiter) expiringPromises(now time.Time) []peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	refreshBefore := now.Add(l.Settings.PromiseDuration - l.Settings.PromiseDuration/promiseRefreshDivisor)
	var expiring []peer
	for p := range l.extension.requiredPeers {
		if l.extension.promisedUntil[p].Before(refreshBefore) {
			expiring = append(expiring, p)
		}
	}
	return expiring
}

func (l *Limiter) requestPromise(ctx context.Context, session protocol.SessionID, from peer) {
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
		l.extension.recordPromise(time.Now(), from, sent, l.Journal.MayHold())
	}
}

// backgroundCallService sends the calls that no request waits for.
type backgroundCallService struct{ limiter *Limiter }

// String returns the name that the supervisor logs.
func (s *backgroundCallService) String() string { return "limiter-fetch" }

// Serve implements suture.Service.
func (s *backgroundCallService) Serve(ctx context.Context) error {
	for {
		call, err := s.limiter.backgroundCalls.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		s.limiter.call(ctx, call, s.limiter.Settings.CallTimeout)
	}
}
